import type {Clock, RandomSource} from '@gentiandoor/kernel';
import {ShortWorkReserve} from './work-length-policy.js';
import {SlotReleaseRate} from './slot-release-rate.js';
import {BoundedEjection, type EjectionStateChange} from './ejection.js';
import {FairQueue} from './fair-queue.js';
import {
  SlotPool,
  type SlotPoolDependencies,
  type SpillReason,
} from './slot-pool.js';
import {PeerAwareLimiter} from './slot-limiter.js';
import {AvoidSlowTargets} from './slow-target.js';
import {SampledSelector} from './target-selector.js';
import type {TeamQuota} from './team-quota.js';
import {CachedClock} from './cached-clock.js';
import {LinearWeightRamp} from './weight-ramp.js';

/** What a pool of the daemon is made of. */
export interface StandardPoolOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  /** This daemon's incarnation, as its peers know it. */
  readonly incarnation: string;
  readonly quota: TeamQuota;
  readonly onSpill: (reason: SpillReason) => void;
  readonly onWaitingStarted: () => void;
  readonly onEjectionStateChange: (change: EjectionStateChange) => void;
  /** Parts that a comparison replaces. */
  readonly overrides?: Partial<SlotPoolDependencies>;
}

/** Puts the decisions of one pool together as the daemon uses them. */
export function createStandardPool(options: StandardPoolOptions): SlotPool {
  const {
    random,
    incarnation: self,
    quota,
    onSpill,
    onWaitingStarted: onPressure,
    overrides: replaced = {},
  } = options;
  const clock = new CachedClock(options.clock);
  const releaseRate = new SlotReleaseRate();
  const workLengthPolicy =
    replaced.workLengthPolicy ??
    new ShortWorkReserve(clock, releaseRate, () => pool.capacity());
  const pool: SlotPool = new SlotPool({
    clock,
    random,
    releaseRate: releaseRate,
    workLengthPolicy: workLengthPolicy,
    quota,
    onSpill,
    onWaitingStarted: onPressure,
    slowTargets: new AvoidSlowTargets(),
    limiter: new PeerAwareLimiter(clock, self),
    selector: new SampledSelector(random),
    ejection: new BoundedEjection(options.onEjectionStateChange),
    ramp: new LinearWeightRamp(),
    queue: new FairQueue(releaseRate, workLengthPolicy),
    ...replaced,
  });
  return pool;
}

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

/** Options of a pool as the daemon uses it. */
export interface StandardPoolOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  /** This daemon's incarnation, as its peers know it. */
  readonly incarnation: string;
  readonly quota: TeamQuota;
  readonly onSpill: (reason: SpillReason) => void;
  readonly onWaitingStarted: () => void;
  readonly onEjectionStateChange: (change: EjectionStateChange) => void;
  /** Components replaced for a comparison. */
  readonly overrides?: Partial<SlotPoolDependencies>;
}

/** Creates a pool with the decision components that the daemon uses. */
export function createStandardPool(options: StandardPoolOptions): SlotPool {
  const {
    random,
    incarnation,
    quota,
    onSpill,
    onWaitingStarted,
    overrides = {},
  } = options;
  const clock = new CachedClock(options.clock);
  const releaseRate = new SlotReleaseRate();
  const workLengthPolicy =
    overrides.workLengthPolicy ??
    new ShortWorkReserve(clock, releaseRate, () => pool.capacity());
  const pool: SlotPool = new SlotPool({
    clock,
    random,
    releaseRate,
    workLengthPolicy,
    quota,
    onSpill,
    onWaitingStarted,
    slowTargets: new AvoidSlowTargets(),
    limiter: new PeerAwareLimiter(clock, incarnation),
    selector: new SampledSelector(random),
    ejection: new BoundedEjection(options.onEjectionStateChange),
    ramp: new LinearWeightRamp(),
    queue: new FairQueue(releaseRate, workLengthPolicy),
    ...overrides,
  });
  return pool;
}

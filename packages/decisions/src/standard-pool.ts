import type {Clock, RandomSource} from '@gentiandoor/kernel';
import {ShortReserve} from './class-gate.js';
import {DrainRate} from './drain-rate.js';
import {BoundedEjection, type StandingChange} from './ejection.js';
import {FairQueue} from './fair-queue.js';
import {SlotPool, type SlotPoolParts, type SpillReason} from './slot-pool.js';
import {PeerShare} from './slot-share.js';
import {WaitRatherThanSlow} from './slow-target.js';
import {SampledChoice} from './target-choice.js';
import type {TeamQuota} from './team-quota.js';
import {TickClock} from './tick-clock.js';
import {SteppedRamp} from './weight-ramp.js';

/** What a pool of the daemon is made of. */
export interface StandardPoolOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  /** This daemon's incarnation, as its peers know it. */
  readonly self: string;
  readonly quota: TeamQuota;
  readonly onSpill: (reason: SpillReason) => void;
  readonly onPressure: () => void;
  readonly onStanding: (change: StandingChange) => void;
  /** Parts that a comparison replaces. */
  readonly replaced?: Partial<SlotPoolParts>;
}

/** Puts the decisions of one pool together as the daemon uses them. */
export function createStandardPool(options: StandardPoolOptions): SlotPool {
  const {random, self, quota, onSpill, onPressure, replaced = {}} = options;
  const clock = new TickClock(options.clock);
  const drain = new DrainRate();
  const gate =
    replaced.gate ?? new ShortReserve(clock, drain, () => pool.capacity());
  const pool: SlotPool = new SlotPool({
    clock,
    random,
    drain,
    gate,
    quota,
    onSpill,
    onPressure,
    slowTargets: new WaitRatherThanSlow(),
    share: new PeerShare(clock, self),
    choice: new SampledChoice(random),
    ejection: new BoundedEjection(options.onStanding),
    ramp: new SteppedRamp(),
    queue: new FairQueue(drain, gate),
    ...replaced,
  });
  return pool;
}

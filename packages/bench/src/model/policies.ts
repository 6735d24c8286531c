import type {Clock, RandomSource} from '@gentiandoor/kernel';
import {
  FirstInFirstOutQueue,
  NoWeightRamp,
  NoEjection,
  EqualWorkLengthPolicy,
  NoSlotLimiter,
  RandomSelector,
  RetryBudget,
  AllowSlowTargets,
  UnlimitedRetries,
  type RetryPolicy,
  type SlotPoolDependencies,
} from '@gentiandoor/decisions';

/** A combination of decision components to compare. */
export interface Policy {
  readonly label: string;
  /** Returns the components that replace the daemon's own. */
  overrides(
    clock: Clock,
    random: RandomSource,
    daemons: number,
  ): Partial<SlotPoolDependencies>;
  retries(clock: Clock): RetryPolicy;
  /** Whether team quotas are enforced. */
  readonly hasQuotas: boolean;
}

/** Returns the daemon's decisions with some components replaced. */
export function variant(
  label: string,
  overrides: Policy['overrides'] = () => ({}),
): Policy {
  return {
    label,
    overrides,
    retries: clock => new RetryBudget(clock),
    hasQuotas: true,
  };
}

/** The daemon's decisions, unchanged. */
export const STANDARD = variant('gentiandoor');

/** Baseline: no limit, first-in-first-out queue, random choice, unlimited retries, no ejection. */
export const NAIVE: Policy = {
  label: 'naive',
  hasQuotas: false,
  overrides: (_clock, random) => ({
    limiter: new NoSlotLimiter(),
    selector: new RandomSelector(random),
    ejection: new NoEjection(),
    ramp: new NoWeightRamp(),
    workLengthPolicy: new EqualWorkLengthPolicy(),
    slowTargets: new AllowSlowTargets(),
    queue: new FirstInFirstOutQueue(),
  }),
  retries: () => new UnlimitedRetries(),
};

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

/** A set of decisions to compare. */
export interface Policy {
  readonly label: string;
  /** Parts in place of the daemon's own. */
  overrides(
    clock: Clock,
    random: RandomSource,
    daemons: number,
  ): Partial<SlotPoolDependencies>;
  retries(clock: Clock): RetryPolicy;
  /** Whether teams' quotas are kept. */
  readonly hasQuotas: boolean;
}

/** The decisions as the daemon uses them, with some parts replaced. */
export function variant(
  label: string,
  parts: Policy['overrides'] = () => ({}),
): Policy {
  return {
    label,
    overrides: parts,
    retries: clock => new RetryBudget(clock),
    hasQuotas: true,
  };
}

/** The decisions as the daemon uses them. */
export const STANDARD = variant('gentiandoor');

/** No limit, first in first out, random choice, unlimited retry, no ejection. */
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

import type {Clock, RandomSource} from '@gentiandoor/kernel';
import {
  FirstInFirstOutQueue,
  FullWeightAtOnce,
  NeverEject,
  NoClassGate,
  NoLimit,
  RandomChoice,
  RetryBudget,
  TakeAnySlot,
  UnlimitedRetries,
  type RetryPolicy,
  type SlotPoolParts,
} from '@gentiandoor/decisions';

/** A set of decisions to compare. */
export interface Policy {
  readonly label: string;
  /** Parts in place of the daemon's own. */
  parts(
    clock: Clock,
    random: RandomSource,
    daemons: number,
  ): Partial<SlotPoolParts>;
  retries(clock: Clock): RetryPolicy;
  /** Whether teams' quotas are kept. */
  readonly hasQuotas: boolean;
}

/** The decisions as the daemon uses them, with some parts replaced. */
export function variant(
  label: string,
  parts: Policy['parts'] = () => ({}),
): Policy {
  return {
    label,
    parts,
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
  parts: (_clock, random) => ({
    share: new NoLimit(),
    choice: new RandomChoice(random),
    ejection: new NeverEject(),
    ramp: new FullWeightAtOnce(),
    gate: new NoClassGate(),
    slowTargets: new TakeAnySlot(),
    queue: new FirstInFirstOutQueue(),
  }),
  retries: () => new UnlimitedRetries(),
};

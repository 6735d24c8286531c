import {z} from 'zod';
import {integerSetting} from '@gentiandoor/kernel';

const MINIMUM_SECRET_LENGTH = 16;

function secretSetting() {
  return z
    .string({
      error: `expected a secret of ${MINIMUM_SECRET_LENGTH} characters or more`,
    })
    .min(MINIMUM_SECRET_LENGTH, {
      error: `expected a secret of ${MINIMUM_SECRET_LENGTH} characters or more`,
    });
}

/** Settings section [once-only]. */
export const onceOnlyOptions = z.strictObject({
  keys: integerSetting(1, 10_000_000)
    .default(200_000)
    .describe(
      'Claims remembered; the oldest are forgotten first. Bounds memory.',
    ),
  append_interval_milliseconds: integerSetting(0, 10_000)
    .default(25)
    .describe(
      'Least time between two appends of this daemon, in milliseconds.',
    ),
  batch_limit: integerSetting(1, 10_000)
    .default(256)
    .describe('Claims, releases and outcomes of one append.'),
  append_timeout_milliseconds: integerSetting(1, 60_000)
    .default(2000)
    .describe('Longest wait for the answer to one append, in milliseconds.'),
  claim_wait_milliseconds: integerSetting(1, 60_000)
    .default(2000)
    .describe('Longest wait of a request for its claim, in milliseconds.'),
  answer_wait_milliseconds: integerSetting(0, 60_000)
    .default(2000)
    .describe(
      'Longest wait of a retry for the answer of the request that runs, in milliseconds.',
    ),
  outage_milliseconds: integerSetting(0, 60_000)
    .default(1000)
    .describe(
      'A log that failed for so long is not waited for: keys are refused at once.',
    ),
  outcome_lag_milliseconds: integerSetting(0, 60_000)
    .default(1000)
    .describe(
      'Longest time that an outcome waits for a claim to travel with, in milliseconds.',
    ),
  waiting_limit: integerSetting(1, 1_000_000)
    .default(5000)
    .describe(
      'Requests that wait for a claim or for an answer at the same time.',
    ),
  held_answers: integerSetting(0, 10_000_000)
    .default(20_000)
    .describe('Finished requests whose end is held for replay.'),
  held_bytes: integerSetting(0, 1_000_000_000)
    .default(16_000_000)
    .describe('Bytes of answers held for replay.'),
  held_answer_bytes: integerSetting(0, 100_000_000)
    .default(262_144)
    .describe('Bytes of the largest answer held.'),
  hand_over_milliseconds: integerSetting(0, 60_000)
    .default(3000)
    .describe(
      'Longest time that a planned stop takes to hand its answers over, in milliseconds.',
    ),
  read_limit: integerSetting(1, 100_000)
    .default(500)
    .describe('Most records of one read of the claims.'),
  read_wait_milliseconds: integerSetting(0, 60_000)
    .default(500)
    .describe(
      'Longest wait of one read; how soon "not run" can be proven while appends fail.',
    ),
  key_secret: secretSetting()
    .optional()
    .describe(
      'Shared by all daemons; lets them issue keys that tell their age.',
    ),
  key_secret_previous: secretSetting()
    .optional()
    .describe('The secret before the last change, still taken.'),
});

/** Validated settings of the once-only plug-in. */
export type OnceOnlyOptions = z.output<typeof onceOnlyOptions>;

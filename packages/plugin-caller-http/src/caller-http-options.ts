import {z} from 'zod';
import {addressSetting, integerSetting} from '@gentiandoor/kernel';

/** Settings section [caller-http]. */
export const callerHttpOptions = z.strictObject({
  listen: addressSetting(),
  head_bytes: integerSetting(1024, 1_048_576).default(16_384),
  body_bytes: integerSetting(0, 1_073_741_824).default(16_777_216),
  /** Bodies up to this size are read whole before a target is chosen; longer ones are streamed. */
  buffered_body_bytes: integerSetting(0, 16_777_216).default(65_536),
  /** Longest body of a request with an idempotency key. */
  keyed_body_bytes: integerSetting(0, 16_777_216).default(1_048_576),
  /** Longest answer held for a caller's retry under the same idempotency key. */
  held_answer_bytes: integerSetting(0, 16_777_216).default(65_536),
  /** Longest time for a request's head to arrive. */
  head_milliseconds: integerSetting(100, 600_000).default(10_000),
  /** Longest silence within a request's body, and longest time a caller may leave an answer unread. */
  progress_milliseconds: integerSetting(100, 600_000).default(15_000),
  /** Longest time for a whole request to arrive. */
  request_milliseconds: integerSetting(100, 86_400_000).default(300_000),
  keep_alive_milliseconds: integerSetting(100, 600_000).default(15_000),
  /** Time in a graceful stop for the balancer to see the health answer, before listening ends. */
  drain_grace_milliseconds: integerSetting(0, 600_000).default(3000),
  /** Longest time for exchanges to finish in a graceful stop. */
  drain_milliseconds: integerSetting(0, 600_000).default(30_000),
});

/** Checked settings of the caller edge. */
export type CallerHttpOptions = z.output<typeof callerHttpOptions>;

import {z} from 'zod';
import {addressSetting, integerSetting} from '@gentiandoor/kernel';

/** Settings section [caller-http]. */
export const callerHttpOptions = z.strictObject({
  listen: addressSetting().describe('IP number and port for callers.'),
  connections: integerSetting(1, 100_000)
    .default(10_000)
    .describe(
      'Connections of callers at one time; more are closed at once and counted.',
    ),
  head_bytes: integerSetting(1024, 1_048_576)
    .default(16_384)
    .describe('Longest head of a request.'),
  body_bytes: integerSetting(0, 1_073_741_824)
    .default(16_777_216)
    .describe('Longest body of a request.'),
  buffered_body_bytes: integerSetting(0, 16_777_216)
    .default(65_536)
    .describe(
      'Bodies up to this size are read whole before a target is chosen; longer ones are streamed.',
    ),
  keyed_body_bytes: integerSetting(0, 16_777_216)
    .default(1_048_576)
    .describe('Longest body of a request with an idempotency key.'),
  held_answer_bytes: integerSetting(0, 16_777_216)
    .default(65_536)
    .describe(
      "Longest answer held for a caller's retry under the same idempotency key.",
    ),
  head_milliseconds: integerSetting(100, 600_000)
    .default(10_000)
    .describe("Longest time for a request's head to arrive."),
  progress_milliseconds: integerSetting(100, 600_000)
    .default(15_000)
    .describe(
      "Longest silence within a request's body, and longest time a caller may leave an answer unread.",
    ),
  request_milliseconds: integerSetting(100, 86_400_000)
    .default(300_000)
    .describe('Longest time for a whole request to arrive.'),
  keep_alive_milliseconds: integerSetting(100, 600_000)
    .default(15_000)
    .describe('Time for which an idle connection of a caller is kept.'),
  drain_grace_milliseconds: integerSetting(0, 600_000)
    .default(3000)
    .describe(
      'Time in a graceful stop for the balancer to see the health answer, before listening ends.',
    ),
  drain_milliseconds: integerSetting(0, 600_000)
    .default(30_000)
    .describe('Longest time for exchanges to finish in a graceful stop.'),
});

/** Validated settings of section [caller-http]. */
export type CallerHttpOptions = z.output<typeof callerHttpOptions>;

import {z} from 'zod';
import {addressSetting, integerSetting} from '@gentiandoor/kernel';

/** Settings section [caller-http]. */
export const callerHttpOptions = z.strictObject({
  listen: addressSetting(),
  head_bytes: integerSetting(1024, 1_048_576).default(16_384),
  body_bytes: integerSetting(0, 1_073_741_824).default(16_777_216),
  /** Longest time for a request's head to arrive. */
  head_milliseconds: integerSetting(100, 600_000).default(10_000),
  keep_alive_milliseconds: integerSetting(100, 600_000).default(15_000),
  /** Longest time for exchanges to finish in a graceful stop. */
  drain_milliseconds: integerSetting(0, 600_000).default(30_000),
});

/** Checked settings of the caller edge. */
export type CallerHttpOptions = z.output<typeof callerHttpOptions>;

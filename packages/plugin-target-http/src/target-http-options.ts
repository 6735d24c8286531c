import {z} from 'zod';
import {integerSetting} from '@gentiandoor/kernel';

/** Settings section [target-http]. */
export const targetHttpOptions = z.strictObject({
  connect_milliseconds: integerSetting(10, 60_000).default(1000),
  /** Longest time a connection stays open unused; below the targets' own keep-alive time. */
  idle_milliseconds: integerSetting(0, 600_000).default(3000),
  /** Longest silence within an answer. */
  progress_milliseconds: integerSetting(100, 600_000).default(15_000),
});

/** Checked settings of the target edge. */
export type TargetHttpOptions = z.output<typeof targetHttpOptions>;

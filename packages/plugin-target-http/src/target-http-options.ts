import {z} from 'zod';
import {integerSetting} from '@gentiandoor/kernel';

/** Settings section [target-http]. */
export const targetHttpOptions = z.strictObject({
  connect_milliseconds: integerSetting(10, 60_000).default(1000),
  /** Longest time a connection stays open unused; below the targets' own keep-alive time. */
  idle_milliseconds: integerSetting(0, 600_000).default(3000),
  /** Longest time unused after which a non-idempotent request still takes the connection. */
  proven_milliseconds: integerSetting(0, 600_000).default(500),
  /** Longest silence within an answer. */
  progress_milliseconds: integerSetting(100, 600_000).default(15_000),
  /** Connections of this daemon to one target, where the bundle says nothing. */
  connections: integerSetting(1, 10_000).default(64),
  /** Longest head of an answer. */
  head_bytes: integerSetting(1024, 1_048_576).default(32_768),
});

/** Checked settings of the target edge. */
export type TargetHttpOptions = z.output<typeof targetHttpOptions>;

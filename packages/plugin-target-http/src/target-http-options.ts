import {z} from 'zod';
import {integerSetting} from '@gentiandoor/kernel';

/** Settings section [target-http]. */
export const targetHttpOptions = z.strictObject({
  connect_milliseconds: integerSetting(10, 60_000)
    .default(1000)
    .describe('Longest time to open a connection to a target.'),
  idle_milliseconds: integerSetting(0, 600_000)
    .default(3000)
    .describe(
      "Longest time a connection stays open unused; below the targets' own keep-alive time.",
    ),
  proven_milliseconds: integerSetting(0, 600_000)
    .default(500)
    .describe(
      'Longest time unused after which a non-idempotent request still takes the connection.',
    ),
  progress_milliseconds: integerSetting(100, 600_000)
    .default(15_000)
    .describe('Longest silence within an answer.'),
  connections: integerSetting(1, 10_000)
    .default(64)
    .describe(
      'Connections of this daemon to one target, where the bundle says nothing.',
    ),
  head_bytes: integerSetting(1024, 1_048_576)
    .default(32_768)
    .describe('Longest head of an answer.'),
});

/** Validated settings of section [target-http]. */
export type TargetHttpOptions = z.output<typeof targetHttpOptions>;

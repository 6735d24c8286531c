import {z} from 'zod';
import {integerSetting} from '@gentiandoor/kernel';

/** Settings section [once-only]. */
export const onceOnlyOptions = z.strictObject({
  /** Keys remembered by this daemon. */
  keys: integerSetting(1, 10_000_000).default(100_000),
});

/** Checked settings of the once-only plug-in. */
export type OnceOnlyOptions = z.output<typeof onceOnlyOptions>;

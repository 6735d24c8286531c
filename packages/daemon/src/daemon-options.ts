import {z} from 'zod';
import {LogLevel, integerSetting} from '@gentiandoor/kernel';

/** Settings section [daemon]. */
export const daemonOptions = z.strictObject({
  name: z.string({error: 'expected the name of this daemon'}).min(1),
  data_centre: z
    .string({error: 'expected the data centre of this daemon'})
    .min(1),
  log_level: z.enum(LogLevel).default(LogLevel.Info),
  /** Seed of the random source; a random one when missing. */
  seed: integerSetting(0, 2 ** 31 - 1).optional(),
});

/** Checked settings of the daemon itself. */
export type DaemonOptions = z.output<typeof daemonOptions>;

import {z} from 'zod';
import {LogLevel, integerSetting} from '@gentiandoor/kernel';

/** Settings section [daemon]. */
export const daemonOptions = z.strictObject({
  name: z
    .string({error: 'expected the name of this daemon'})
    .min(1)
    .describe('Name of this daemon, the same after a restart.'),
  data_centre: z
    .string({error: 'expected the data centre of this daemon'})
    .min(1)
    .describe('Data centre of this daemon.'),
  log_level: z
    .enum(LogLevel)
    .default(LogLevel.Info)
    .describe(
      'Least severity that is logged: debug, info, warn, error, silent.',
    ),
  seed: integerSetting(0, 2 ** 31 - 1)
    .optional()
    .describe('Seed of the random source; a random one when missing.'),
});

/** Validated settings of the daemon itself. */
export type DaemonOptions = z.output<typeof daemonOptions>;

import {z} from 'zod';
import {addressSetting, integerSetting} from '@gentiandoor/kernel';

/** Settings section [platform-log]. */
export const platformLogOptions = z.strictObject({
  address: addressSetting().describe(
    "IP number and port of the platform's log.",
  ),
  timeout_milliseconds: integerSetting(50, 60_000)
    .default(2000)
    .describe(
      "Longest wait for the log's answer, in milliseconds, beyond the wait asked for.",
    ),
});

/** Validated settings of the platform log plug-in. */
export type PlatformLogOptions = z.output<typeof platformLogOptions>;

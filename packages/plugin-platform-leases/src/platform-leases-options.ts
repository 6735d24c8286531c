import {z} from 'zod';
import {addressSetting, integerSetting} from '@gentiandoor/kernel';

/** Settings section [platform-leases]. */
export const platformLeasesOptions = z.strictObject({
  address: addressSetting()
    .optional()
    .describe(
      'IP number and port; without it no job runs and no VM is rebooted.',
    ),
  timeout_milliseconds: integerSetting(50, 60_000)
    .default(2000)
    .describe("Longest wait for the platform's answer."),
  connections: integerSetting(1, 256)
    .default(8)
    .describe('Connections to the platform.'),
});

/** Validated settings of the leases plug-in. */
export type PlatformLeasesOptions = z.output<typeof platformLeasesOptions>;

import {z} from 'zod';
import {addressSetting, integerSetting} from '@gentiandoor/kernel';

/** Settings section [platform-list]. */
export const platformListOptions = z.strictObject({
  address: addressSetting().describe(
    "IP number and port of the platform's list of VMs.",
  ),
  poll_milliseconds: integerSetting(50, 60_000)
    .default(1000)
    .describe('Time between two reads of the list, with jitter.'),
  timeout_milliseconds: integerSetting(50, 60_000)
    .default(2000)
    .describe("Longest wait for the platform's answer."),
});

/** Validated settings of the VM list plug-in. */
export type PlatformListOptions = z.output<typeof platformListOptions>;

import {z} from 'zod';
import {addressSetting, integerSetting} from '@gentiandoor/kernel';

/** Settings section [platform-list]. */
export const platformListOptions = z.strictObject({
  address: addressSetting(),
  poll_milliseconds: integerSetting(50, 60_000).default(1000),
  timeout_milliseconds: integerSetting(50, 60_000).default(2000),
});

/** Checked settings of the VM list plug-in. */
export type PlatformListOptions = z.output<typeof platformListOptions>;

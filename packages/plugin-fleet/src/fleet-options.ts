import {z} from 'zod';
import {integerSetting} from '@gentiandoor/kernel';

/** Settings section [fleet]. */
export const fleetOptions = z.strictObject({
  /** Time between two planning rounds. */
  round_milliseconds: integerSetting(50, 60_000).default(1000),
  /** Time between two batches of acknowledgements. */
  acknowledge_milliseconds: integerSetting(10, 10_000).default(100),
  /** Longest wait for the log to judge a record. */
  publish_timeout_milliseconds: integerSetting(100, 60_000).default(5000),
  /** A VM is rebooted at least once in this many days. */
  maintenance_period_days: integerSetting(1, 365).default(35),
  /** Length of leases of tasks. */
  lease_milliseconds: integerSetting(1000, 3_600_000).default(60_000),
});

/** Checked settings of the fleet plug-in. */
export type FleetOptions = z.output<typeof fleetOptions>;

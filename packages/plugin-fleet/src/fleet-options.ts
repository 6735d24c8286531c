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
  /** Whether waves start by themselves, so that every VM is maintained once a period. */
  automatic_waves: z
    .union([z.boolean(), z.enum(['yes', 'no'])], {error: 'expected yes or no'})
    .transform(value => value === true || value === 'yes')
    .default(false),
  maintenance_period_days: integerSetting(1, 365).default(35),
  /** Length of leases of tasks. */
  lease_milliseconds: integerSetting(1000, 3_600_000).default(60_000),
});

/** Checked settings of the fleet plug-in. */
export type FleetOptions = z.output<typeof fleetOptions>;

import {z} from 'zod';
import {integerSetting} from '@gentiandoor/kernel';

/** Settings section [fleet]. */
export const fleetOptions = z.strictObject({
  round_milliseconds: integerSetting(50, 60_000)
    .default(1000)
    .describe('Time between two planning rounds.'),
  acknowledge_milliseconds: integerSetting(10, 10_000)
    .default(100)
    .describe('Time between two batches of acknowledgements.'),
  publish_timeout_milliseconds: integerSetting(100, 60_000)
    .default(5000)
    .describe('Longest wait for the log to judge a record.'),
  automatic_waves: z
    .union([z.boolean(), z.enum(['yes', 'no'])], {error: 'expected yes or no'})
    .transform(value => value === true || value === 'yes')
    .default(false)
    .describe(
      'Whether waves start by themselves, so that every VM is maintained once a period.',
    ),
  maintenance_period_days: integerSetting(1, 365)
    .default(35)
    .describe('Every VM is maintained once in this many days.'),
  lease_milliseconds: integerSetting(1000, 3_600_000)
    .default(60_000)
    .describe('Length of leases of tasks.'),
});

/** Checked settings of the fleet plug-in. */
export type FleetOptions = z.output<typeof fleetOptions>;

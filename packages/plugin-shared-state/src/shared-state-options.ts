import {z} from 'zod';
import {integerSetting} from '@gentiandoor/kernel';

const HOUR_MILLISECONDS = 3_600_000;

/** Settings section [shared-state]. */
export const sharedStateOptions = z.strictObject({
  trusted_operators: z
    .string({
      error: 'expected name:key, name:key with Ed25519 public keys in base64',
    })
    .transform(text =>
      Object.fromEntries(
        text.split(',').map(item => {
          const [name, key] = item.trim().split(':');
          return [name, key ?? ''] as const;
        }),
      ),
    )
    .describe(
      'Operators trusted before the first bundle: name:key, name:key with Ed25519 keys in base64.',
    ),
  read_limit: integerSetting(1, 100_000)
    .default(1000)
    .describe('Most records of one read of the log.'),
  read_wait_milliseconds: integerSetting(100, 60_000)
    .default(5000)
    .describe('Longest wait of one read for a new record.'),
  appends_per_second: integerSetting(1, 1000)
    .default(20)
    .describe('Appends a second to the fleet stream, over a longer time.'),
  summary_milliseconds: integerSetting(100, 60_000)
    .default(5000)
    .describe('Time between summaries to peers when nothing changes.'),
  gather_milliseconds: integerSetting(0, 60_000)
    .default(1500)
    .describe(
      'A daemon that starts waits so long for the peers it knows of before it serves.',
    ),
  gone_milliseconds: integerSetting(1000, HOUR_MILLISECONDS)
    .default(60_000)
    .describe(
      "A member that the platform's list has dropped is taken out after so long.",
    ),
  snapshot_records: integerSetting(10, 10_000_000)
    .default(5000)
    .describe('Records after which a snapshot is due.'),
  snapshot_milliseconds: integerSetting(1000, 30 * 24 * HOUR_MILLISECONDS)
    .default(6 * HOUR_MILLISECONDS)
    .describe(
      'Time after which a snapshot is due: well below the time for which the log keeps records.',
    ),
  snapshot_check_milliseconds: integerSetting(100, HOUR_MILLISECONDS)
    .default(10_000)
    .describe('Time between looks whether a snapshot is due.'),
});

/** Validated settings of the shared state plug-in. */
export type SharedStateOptions = z.output<typeof sharedStateOptions>;

import {z} from 'zod';
import {integerSetting} from '@gentiandoor/kernel';

/** Settings section [shared-state]. */
export const sharedStateOptions = z.strictObject({
  /** Operators trusted before the first bundle: name:key, name:key with Ed25519 keys in base64. */
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
    ),
  read_limit: integerSetting(1, 100_000).default(1000),
  read_wait_milliseconds: integerSetting(0, 60_000).default(1000),
});

/** Checked settings of the shared state plug-in. */
export type SharedStateOptions = z.output<typeof sharedStateOptions>;

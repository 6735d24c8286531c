import {z} from 'zod';
import {addressSetting, integerSetting} from '@gentiandoor/kernel';

/** Settings section [admin]. */
export const adminOptions = z.strictObject({
  listen: addressSetting().describe(
    'IP number and port for health checks and operators.',
  ),
  key: z
    .string({error: 'expected the key that operators send'})
    .min(16, {
      error: 'expected at least 16 characters',
    })
    .describe("Operators' shared key; sent as `Authorization: Bearer KEY`."),
  body_bytes: integerSetting(1024, 67_108_864)
    .default(8_388_608)
    .describe(
      'Longest body of a POST; a bundle of 31,000 VMs takes about 400,000 bytes.',
    ),
  connections: integerSetting(1, 10_000)
    .default(64)
    .describe(
      'Connections of operators and health checks at one time; more are closed at once and counted.',
    ),
  request_milliseconds: integerSetting(100, 600_000)
    .default(30_000)
    .describe('Longest time for a whole request to arrive.'),
});

/** Validated settings of the admin plug-in. */
export type AdminOptions = z.output<typeof adminOptions>;

import {z} from 'zod';
import {addressSetting} from '@gentiandoor/kernel';

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
});

/** Checked settings of the admin edge. */
export type AdminOptions = z.output<typeof adminOptions>;

import {z} from 'zod';
import {addressSetting} from '@gentiandoor/kernel';

/** Settings section [admin]. */
export const adminOptions = z.strictObject({
  listen: addressSetting(),
  /** Operators' shared key; sent as `Authorization: Bearer KEY`. */
  key: z.string({error: 'expected the key that operators send'}).min(16, {
    error: 'expected at least 16 characters',
  }),
});

/** Checked settings of the admin edge. */
export type AdminOptions = z.output<typeof adminOptions>;

import {z} from 'zod';

/** Settings section [peers]. */
export const peersOptions = z.strictObject({});

import {z} from 'zod';

const LONGEST_NAME = 200;
const LARGEST_NUMBER = Number.MAX_SAFE_INTEGER;

/** A name, id or reason inside a record: bounded, so that a record cannot swell the state. */
export const recordText = z.string().max(LONGEST_NAME);

/** A version, epoch or format inside a record. */
export const recordCount = z.number().int().min(0).max(LARGEST_NUMBER);

/** Fields that every record carries. */
export const recordHead = {
  /** Unique; the fold drops a second record of the same id. */
  id: recordText.min(1),
  /** Incarnation of the daemon, or name of the operator, that wrote it. */
  writer: recordText,
};

/** What every record carries. */
export interface RecordHead {
  readonly id: string;
  readonly writer: string;
}

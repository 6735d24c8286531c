import {z} from 'zod';

const MAXIMUM_TEXT_CHARACTERS = 200;
const LARGEST_NUMBER = Number.MAX_SAFE_INTEGER;

/** A name, id or reason inside a record: bounded, so that a record cannot swell the state. */
export const boundedText = z.string().max(MAXIMUM_TEXT_CHARACTERS);

/** A version, epoch or format inside a record. */
export const nonNegativeInteger = z.number().int().min(0).max(LARGEST_NUMBER);

/** Fields that every record carries. */
export const recordHeadFields = {
  /** Unique; the fold drops a second record of the same id. */
  id: boundedText.min(1),
  /** Incarnation of the daemon, or name of the operator, that wrote it. */
  writer: boundedText,
};

/** What every record carries. */
export interface RecordHead {
  readonly id: string;
  readonly writer: string;
}

import {z} from 'zod';

const MAXIMUM_TEXT_CHARACTERS = 200;
const LARGEST_NUMBER = Number.MAX_SAFE_INTEGER;

/**
 * A name, id or reason in a record; limited in length, so that records cannot inflate the
 * state.
 */
export const boundedText = z.string().max(MAXIMUM_TEXT_CHARACTERS);

/** A version, epoch or format in a record. */
export const nonNegativeInteger = z.number().int().min(0).max(LARGEST_NUMBER);

/** Schemas of the header fields of every record. */
export const recordHeadFields = {
  /** Unique id; the fold drops a second record with the same id. */
  id: boundedText.min(1),
  /** Incarnation of the daemon or name of the operator that wrote the record. */
  writer: boundedText,
};

/** Header fields of every record. */
export interface RecordHead {
  readonly id: string;
  readonly writer: string;
}

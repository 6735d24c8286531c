import {Packr} from 'msgpackr';
import {handlerOf} from './record-handlers.js';
import type {FleetRecord} from './records.js';

/** Highest version of the record encoding that this program can read. */
export const MAXIMUM_RECORD_FORMAT = 1;

const packr = new Packr({useRecords: false});

/** Why this version cannot read a record. */
export interface UnreadableRecord {
  readonly unreadable: string;
}

/** A record with the format in which it was written. */
export interface DecodedRecord {
  readonly format: number;
  readonly record: FleetRecord;
}

/** Encodes a record for the log in the lowest format that includes its kind. */
export function encodeRecord(record: FleetRecord): Uint8Array {
  const format = handlerOf(record.kind)?.sinceFormat ?? MAXIMUM_RECORD_FORMAT;
  return packr.pack([format, record]);
}

/** Decodes a payload to a record and its format and validates every field; never throws. */
export function decodePayload(
  payload: Uint8Array,
): DecodedRecord | UnreadableRecord {
  const envelope = unpack(payload);
  if (!Array.isArray(envelope) || envelope.length !== 2)
    return {unreadable: 'expected a record envelope of format and fields'};
  const [format, fields] = envelope as [unknown, unknown];
  if (!isFormat(format))
    return {unreadable: 'expected a record format of 1 or more'};
  if (format > MAXIMUM_RECORD_FORMAT)
    return {
      unreadable: `unsupported record format ${format}; this version reads formats up to ${MAXIMUM_RECORD_FORMAT}`,
    };
  return checkFields(format, fields);
}

/** Decodes a payload to a record without its format; never throws. */
export function decodeRecord(
  payload: Uint8Array,
): FleetRecord | UnreadableRecord {
  const decoded = decodePayload(payload);
  return 'unreadable' in decoded ? decoded : decoded.record;
}

function unpack(payload: Uint8Array): unknown {
  try {
    return packr.unpack(payload) as unknown;
  } catch {
    return undefined;
  }
}

function isFormat(format: unknown): format is number {
  return typeof format === 'number' && Number.isInteger(format) && format >= 1;
}

function checkFields(
  format: number,
  fields: unknown,
): DecodedRecord | UnreadableRecord {
  if (typeof fields !== 'object' || fields === null)
    return {unreadable: 'expected a record to be an object'};
  const {kind} = fields as {kind?: unknown};
  const handler = typeof kind === 'string' ? handlerOf(kind) : undefined;
  if (!handler) return {unreadable: `unknown record kind ${describe(kind)}`};
  if (handler.sinceFormat > format)
    return {
      unreadable: `record kind ${describe(kind)} does not exist in format ${format}`,
    };
  const result = handler.schema.safeParse(fields);
  if (result.success) return {format, record: result.data};
  const [issue] = result.error.issues;
  return {
    unreadable: `${describe(kind)}: ${issue.path.join('.')}: ${issue.message}`,
  };
}

function describe(value: unknown): string {
  return typeof value === 'string' ? value.slice(0, 100) : typeof value;
}

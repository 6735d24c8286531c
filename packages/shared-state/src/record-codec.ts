import {Packr} from 'msgpackr';
import {handlerOf} from './record-handlers.js';
import type {FleetRecord} from './records.js';

/** Highest version of the encoding of records that this program reads. */
export const MAXIMUM_RECORD_FORMAT = 1;

const packr = new Packr({useRecords: false});

/** A record that this version cannot read. */
export interface UnreadableRecord {
  readonly unreadable: string;
}

/** A record with the format that it was written in. */
export interface DecodedRecord {
  readonly format: number;
  readonly record: FleetRecord;
}

/** Encodes a record for the log in the lowest format that has its kind. */
export function encodeRecord(record: FleetRecord): Uint8Array {
  const format = handlerOf(record.kind)?.sinceFormat ?? MAXIMUM_RECORD_FORMAT;
  return packr.pack([format, record]);
}

/** Decodes a payload and checks every field of it; never throws. */
export function decodePayload(
  payload: Uint8Array,
): DecodedRecord | UnreadableRecord {
  const envelope = unpack(payload);
  if (!Array.isArray(envelope) || envelope.length !== 2)
    return {unreadable: 'not a record envelope'};
  const [format, fields] = envelope as [unknown, unknown];
  if (!isFormat(format)) return {unreadable: 'record format is no number'};
  if (format > MAXIMUM_RECORD_FORMAT)
    return {
      unreadable: `record format ${format}, read up to ${MAXIMUM_RECORD_FORMAT}`,
    };
  return checkFields(format, fields);
}

/** Decodes a payload; never throws. */
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
    return {unreadable: 'record is no object'};
  const {kind} = fields as {kind?: unknown};
  const handler = typeof kind === 'string' ? handlerOf(kind) : undefined;
  if (!handler) return {unreadable: `record kind ${describe(kind)}`};
  if (handler.sinceFormat > format)
    return {unreadable: `record kind ${describe(kind)} in format ${format}`};
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

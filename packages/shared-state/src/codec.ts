import {Packr} from 'msgpackr';
import {RecordKind, type FleetRecord} from './records.js';

/** Version of the encoding of records; a reader keeps out what is newer. */
export const RECORD_FORMAT = 1;

const packr = new Packr({useRecords: false});
const KINDS: ReadonlySet<string> = new Set(Object.values(RecordKind));

/** A record that this version cannot read. */
export interface UnreadableRecord {
  readonly unreadable: string;
}

/** Encodes a record for the log. */
export function encodeRecord(record: FleetRecord): Uint8Array {
  return packr.pack([RECORD_FORMAT, record]);
}

/** Decodes a payload; never throws. */
export function decodeRecord(
  payload: Uint8Array,
): FleetRecord | UnreadableRecord {
  let value: unknown;
  try {
    value = packr.unpack(payload);
  } catch (error) {
    return {unreadable: `not MessagePack: ${String(error)}`};
  }
  if (!Array.isArray(value) || value.length !== 2)
    return {unreadable: 'not a record envelope'};
  const [format, record] = value as [unknown, unknown];
  if (format !== RECORD_FORMAT)
    return {unreadable: `record format ${String(format)}`};
  if (typeof record !== 'object' || record === null)
    return {unreadable: 'record is no object'};
  const {id, kind} = record as {id?: unknown; kind?: unknown};
  if (typeof id !== 'string') return {unreadable: 'record without id'};
  if (typeof kind !== 'string' || !KINDS.has(kind)) {
    return {unreadable: `record kind ${String(kind)}`};
  }
  return record as FleetRecord;
}

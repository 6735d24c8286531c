import {toError} from '@gentiandoor/kernel';
import {decodePayload, type UnreadableRecord} from './record-codec.js';
import {
  RejectionReason,
  type FleetState,
  type Rejection,
} from './fleet-state.js';
import {handlerOf} from './record-handlers.js';
import type {FleetRecord} from './records.js';

/** Ids kept to drop doubled appends; a lost answer is settled within far fewer records. */
const MAXIMUM_REMEMBERED_IDS = 10_000;

/** What the fold made of one payload. */
export interface FoldOutcome {
  readonly offset: number;
  readonly record: FleetRecord | UnreadableRecord;
  /** Undefined when the record took effect. */
  readonly rejection?: Rejection;
}

/**
 * Applies the payload at `state.nextOffset`. Depends on nothing but its arguments
 * and never throws, so that every daemon computes the same state.
 */
export function applyPayload(
  state: FleetState,
  payload: Uint8Array,
): FoldOutcome {
  const offset = state.nextOffset;
  state.nextOffset = offset + 1;
  const decoded = decodePayload(payload);
  if ('unreadable' in decoded)
    return rejectedOutcome(
      offset,
      decoded,
      RejectionReason.Unreadable,
      decoded.unreadable,
    );
  const {record, format} = decoded;
  // An older daemon cannot read this record and leaves its id out too: all must do alike,
  // or daemons of two versions would fold two states.
  if (format > state.formatInUse)
    return rejectedOutcome(
      offset,
      record,
      RejectionReason.FormatNotInUse,
      `format ${format} is not in use yet; ${state.formatInUse} is`,
    );
  if (state.recentIds.has(record.id))
    return rejectedOutcome(
      offset,
      record,
      RejectionReason.Duplicate,
      `record ${record.id} stands before`,
    );
  rememberId(state, record.id, offset);
  return {offset, record, rejection: applyRecord(state, record, offset)};
}

function rejectedOutcome(
  offset: number,
  record: FleetRecord | UnreadableRecord,
  reason: RejectionReason,
  detail: string,
): FoldOutcome {
  return {offset, record, rejection: {reason, detail}};
}

function rememberId(state: FleetState, id: string, offset: number): void {
  state.recentIds.set(id, offset);
  if (state.recentIds.size <= MAXIMUM_REMEMBERED_IDS) return;
  const [oldest] = state.recentIds.keys();
  state.recentIds.delete(oldest);
}

/** The last guard of "no record can make the fold throw": a fault of a handler is a loud rejection. */
function applyRecord(
  state: FleetState,
  record: FleetRecord,
  offset: number,
): Rejection | undefined {
  try {
    return handlerOf(record.kind)?.apply(state, record, offset);
  } catch (error) {
    return {
      reason: RejectionReason.HandlerFailed,
      detail: toError(error).message,
    };
  }
}

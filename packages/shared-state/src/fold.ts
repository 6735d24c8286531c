import {toError} from '@gentiandoor/kernel';
import {decodePayload, type UnreadableRecord} from './record-codec.js';
import {
  RejectionReason,
  type FleetState,
  type Rejection,
} from './fleet-state.js';
import {handlerOf} from './record-handlers.js';
import type {FleetRecord} from './records.js';

/**
 * Ids kept to drop records that were appended twice. A writer whose append got no response
 * repeats it within far fewer records.
 */
const MAXIMUM_REMEMBERED_IDS = 10_000;

/** Result of applying one payload. */
export interface FoldOutcome {
  readonly offset: number;
  readonly record: FleetRecord | UnreadableRecord;
  /** Undefined when the record took effect. */
  readonly rejection?: Rejection;
}

/**
 * Applies the payload at `state.nextOffset`. Depends only on its arguments and never throws,
 * so that every daemon computes the same state.
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
  // An older daemon cannot read this record and does not remember its id either. Newer daemons
  // must do the same, or daemons of different versions would compute different states.
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
      `record ${record.id} is already in the log`,
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

/** Turns an exception of a handler into a rejection, so that no record can make the fold throw. */
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

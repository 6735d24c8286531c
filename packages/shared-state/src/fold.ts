import {decodeRecord, type UnreadableRecord} from './codec.js';
import {applyBundleProposed, applyBundleSigned} from './fold-bundles.js';
import {applyDrainEnded, applyDrainStarted} from './fold-drains.js';
import {applyMemberJoined, applyMemberLeft} from './fold-members.js';
import {
  RejectionReason,
  type FleetState,
  type Rejection,
} from './fleet-state.js';
import {RecordKind, type FleetRecord} from './records.js';

/** Ids kept to drop doubled appends; a lost answer is settled within far fewer records. */
const RECENT_IDS = 10_000;

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
  const record = decodeRecord(payload);
  if ('unreadable' in record) {
    const rejection = {
      reason: RejectionReason.Unreadable,
      detail: record.unreadable,
    };
    return {offset, record, rejection};
  }
  if (state.recentIds.has(record.id)) {
    const rejection = {
      reason: RejectionReason.Duplicate,
      detail: `record ${record.id} stands before`,
    };
    return {offset, record, rejection};
  }
  rememberId(state, record.id);
  return {offset, record, rejection: applyRecord(state, record, offset)};
}

function rememberId(state: FleetState, id: string): void {
  state.recentIds.add(id);
  if (state.recentIds.size <= RECENT_IDS) return;
  const [oldest] = state.recentIds;
  state.recentIds.delete(oldest);
}

function applyRecord(
  state: FleetState,
  record: FleetRecord,
  offset: number,
): Rejection | undefined {
  switch (record.kind) {
    case RecordKind.BundleProposed:
      return applyBundleProposed(state, record);
    case RecordKind.BundleSigned:
      return applyBundleSigned(state, record, offset);
    case RecordKind.MemberJoined:
      return applyMemberJoined(state, record);
    case RecordKind.MemberLeft:
      return applyMemberLeft(state, record);
    case RecordKind.DrainStarted:
      return applyDrainStarted(state, record);
    case RecordKind.DrainEnded:
      return applyDrainEnded(state, record);
    default:
      return assertNever(record);
  }
}

function assertNever(record: never): never {
  throw new Error(`record kind without a handler: ${JSON.stringify(record)}`);
}

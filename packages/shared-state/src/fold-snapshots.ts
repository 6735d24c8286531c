import {
  NEWEST_SNAPSHOT_KEY,
  RejectionReason,
  type FleetState,
  type Rejection,
} from './fleet-state.js';
import type {SnapshotTaken} from './records.js';

/** Records the newest snapshot, so that all daemons can use the snapshot of one. */
export function applySnapshotTaken(
  state: FleetState,
  record: SnapshotTaken,
): Rejection | undefined {
  const newest = state.snapshots.get(NEWEST_SNAPSHOT_KEY);
  const {offset, digest, bytes, at} = record;
  if (newest && newest.offset >= offset) {
    return {
      reason: RejectionReason.SnapshotOlder,
      detail: `a snapshot at offset ${newest.offset} stands; this one is at ${offset}`,
    };
  }
  state.snapshots.set(NEWEST_SNAPSHOT_KEY, {offset, digest, bytes, at});
  return undefined;
}

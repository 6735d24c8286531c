import {
  RejectionReason,
  type FleetState,
  type Rejection,
} from './fleet-state.js';
import type {MemberJoined, MemberLeft} from './records.js';

/** Adds an incarnation; an earlier one of the same name is gone with it. */
export function applyMemberJoined(
  state: FleetState,
  record: MemberJoined,
): Rejection | undefined {
  for (const member of state.members.values()) {
    if (member.name === record.name) state.members.delete(member.incarnation);
  }
  const {name, incarnation, dataCentre, peerAddress} = record;
  state.members.set(incarnation, {name, incarnation, dataCentre, peerAddress});
  return undefined;
}

/** Takes an incarnation out. */
export function applyMemberLeft(
  state: FleetState,
  record: MemberLeft,
): Rejection | undefined {
  if (state.members.delete(record.incarnation)) return undefined;
  return {
    reason: RejectionReason.MemberUnknown,
    detail: `${record.incarnation} is no member`,
  };
}

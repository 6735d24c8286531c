import {
  RejectionReason,
  type FleetState,
  type Member,
  type Rejection,
} from './fleet-state.js';
import type {FormatRaised, MemberJoined, MemberLeft} from './records.js';

const FIRST_FORMAT = 1;

/** Adds an incarnation and removes earlier ones of the same name. */
export function applyMemberJoined(
  state: FleetState,
  record: MemberJoined,
): Rejection | undefined {
  const {name, incarnation, dataCentre, peerAddress} = record;
  const readsFormat = record.readsFormat ?? FIRST_FORMAT;
  if (readsFormat < state.formatInUse) {
    return {
      reason: RejectionReason.FormatTooOld,
      detail: `${name} reads records up to format ${readsFormat}, but ${state.formatInUse} is in use; start a newer version`,
    };
  }
  for (const member of [...state.members.values()]) {
    if (member.name === name) state.members.delete(member.incarnation);
  }
  const member: Member = {
    name,
    incarnation,
    dataCentre,
    peerAddress,
    readsFormat,
  };
  state.members.set(incarnation, member);
  return undefined;
}

/** Removes an incarnation from the members. */
export function applyMemberLeft(
  state: FleetState,
  record: MemberLeft,
): Rejection | undefined {
  if (state.members.delete(record.incarnation)) return undefined;
  return {
    reason: RejectionReason.MemberUnknown,
    detail: `${record.incarnation} is not a member`,
  };
}

/**
 * Brings a record format into use once every member can read it. Without this rule a new daemon
 * would apply a record that an old one skips, and their states would diverge silently.
 */
export function applyFormatRaised(
  state: FleetState,
  record: FormatRaised,
): Rejection | undefined {
  const {format} = record;
  if (format <= state.formatInUse) {
    return {
      reason: RejectionReason.FormatTooOld,
      detail: `format ${state.formatInUse} is in use`,
    };
  }
  const outdatedMember = [...state.members.values()].find(
    member => member.readsFormat < format,
  );
  if (outdatedMember) {
    return {
      reason: RejectionReason.FormatNotReadByAll,
      detail: `${outdatedMember.name} reads up to format ${outdatedMember.readsFormat}`,
    };
  }
  state.formatInUse = format;
  return undefined;
}

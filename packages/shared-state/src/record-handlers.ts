import {PLANNING_RECORD_HANDLERS} from './planning-record-handlers.js';
import {
  applyBundleChanged,
  applyBundleProposed,
  applyBundleSigned,
} from './fold-bundles.js';
import {applyDrainEnded, applyDrainStarted} from './fold-drains.js';
import {
  applyFormatRaised,
  applyMemberJoined,
  applyMemberLeft,
} from './fold-members.js';
import {applySnapshotTaken} from './fold-snapshots.js';
import type {RecordHandler} from './record-handler.js';
import {
  RecordKind,
  bundleChangedSchema,
  bundleProposedSchema,
  bundleSignedSchema,
  drainEndedSchema,
  drainStartedSchema,
  formatRaisedSchema,
  memberJoinedSchema,
  memberLeftSchema,
  snapshotTakenSchema,
  type FleetRecord,
} from './records.js';

export type {RecordHandler} from './record-handler.js';

type HandlerTable = {
  readonly [Kind in RecordKind]: RecordHandler<
    Extract<FleetRecord, {readonly kind: Kind}>
  >;
};

/** Handlers by record kind; a new kind needs one entry here and its own files. */
export const RECORD_HANDLERS: HandlerTable = {
  ...PLANNING_RECORD_HANDLERS,
  [RecordKind.BundleProposed]: {
    sinceFormat: 1,
    schema: bundleProposedSchema,
    apply: applyBundleProposed,
  },
  [RecordKind.BundleChanged]: {
    sinceFormat: 1,
    schema: bundleChangedSchema,
    apply: applyBundleChanged,
  },
  [RecordKind.BundleSigned]: {
    sinceFormat: 1,
    schema: bundleSignedSchema,
    apply: applyBundleSigned,
  },
  [RecordKind.MemberJoined]: {
    sinceFormat: 1,
    schema: memberJoinedSchema,
    apply: applyMemberJoined,
  },
  [RecordKind.MemberLeft]: {
    sinceFormat: 1,
    schema: memberLeftSchema,
    apply: applyMemberLeft,
  },
  [RecordKind.FormatRaised]: {
    sinceFormat: 1,
    schema: formatRaisedSchema,
    apply: applyFormatRaised,
  },
  [RecordKind.SnapshotTaken]: {
    sinceFormat: 1,
    schema: snapshotTakenSchema,
    apply: applySnapshotTaken,
  },
  [RecordKind.DrainStarted]: {
    sinceFormat: 1,
    schema: drainStartedSchema,
    apply: applyDrainStarted,
  },
  [RecordKind.DrainEnded]: {
    sinceFormat: 1,
    schema: drainEndedSchema,
    apply: applyDrainEnded,
  },
};

/** Returns the handler of a kind; undefined if this version does not know the kind. */
export function handlerOf(
  kind: string,
): RecordHandler<FleetRecord> | undefined {
  if (!Object.hasOwn(RECORD_HANDLERS, kind)) return undefined;
  return RECORD_HANDLERS[
    kind as RecordKind
  ] as unknown as RecordHandler<FleetRecord>;
}

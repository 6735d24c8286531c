/** Kinds of records in the fleet stream. */
export enum RecordKind {
  BundleProposed = 'bundle.proposed',
  BundleChanged = 'bundle.changed',
  BundleSigned = 'bundle.signed',
  MemberJoined = 'member.joined',
  MemberLeft = 'member.left',
  FormatRaised = 'format.raised',
  SnapshotTaken = 'snapshot.taken',
  DrainStarted = 'drain.started',
  DrainEnded = 'drain.ended',
}

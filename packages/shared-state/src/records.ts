/** Kinds of records in the fleet stream. */
export enum RecordKind {
  BundleProposed = 'bundle.proposed',
  BundleSigned = 'bundle.signed',
  MemberJoined = 'member.joined',
  MemberLeft = 'member.left',
  DrainStarted = 'drain.started',
  DrainEnded = 'drain.ended',
}

/** What every record carries. */
export interface RecordHead {
  /** Unique; the fold drops a second record of the same id. */
  readonly id: string;
  /** Incarnation of the daemon, or name of the operator, that wrote it. */
  readonly writer: string;
}

/** A bundle's text, put up for sign-off. */
export interface BundleProposed extends RecordHead {
  readonly kind: RecordKind.BundleProposed;
  readonly text: string;
}

/** An operator's sign-off of one proposed bundle. */
export interface BundleSigned extends RecordHead {
  readonly kind: RecordKind.BundleSigned;
  readonly version: number;
  readonly digest: string;
  readonly operator: string;
  /** Ed25519 in base64. */
  readonly signature: string;
}

/** A daemon's incarnation starts to serve. */
export interface MemberJoined extends RecordHead {
  readonly kind: RecordKind.MemberJoined;
  readonly name: string;
  readonly incarnation: string;
  readonly dataCentre: string;
  /** IP number and port of its peer link. */
  readonly peerAddress: string;
}

/** A daemon's incarnation has stopped. */
export interface MemberLeft extends RecordHead {
  readonly kind: RecordKind.MemberLeft;
  readonly incarnation: string;
}

/** A VM takes no new work by an operator's or planner's decision. */
export interface DrainStarted extends RecordHead {
  readonly kind: RecordKind.DrainStarted;
  readonly vm: string;
  readonly reason: string;
}

/** A drained VM takes work again. */
export interface DrainEnded extends RecordHead {
  readonly kind: RecordKind.DrainEnded;
  readonly vm: string;
}

/** Any record of the fleet stream. */
export type FleetRecord =
  | BundleProposed
  | BundleSigned
  | MemberJoined
  | MemberLeft
  | DrainStarted
  | DrainEnded;

import {emptyPlanningState, type PlanningState} from './planning-state.js';
import type {Bundle} from './bundle.js';
import type {ParsedBundle} from './bundle-text.js';
import {HashedTable} from './hashed-table.js';
import {ParsedBundleCache} from './parsed-bundle-cache.js';

/** Why the fold rejected a record. */
export enum RejectionReason {
  Unreadable = 'unreadable',
  Duplicate = 'duplicate',
  HandlerFailed = 'handler_failed',
  FormatNotInUse = 'format_not_in_use',
  FormatTooOld = 'format_too_old',
  FormatNotReadByAll = 'format_not_read_by_all',
  BundleInvalid = 'bundle_invalid',
  BundleConflict = 'bundle_conflict',
  BundleUnknown = 'bundle_unknown',
  BundleDigestDiffers = 'bundle_digest_differs',
  SignerUnknown = 'signer_unknown',
  SignerRevoked = 'signer_revoked',
  SignerIsAuthor = 'signer_is_author',
  SignatureWrong = 'signature_wrong',
  MemberUnknown = 'member_unknown',
  VmUnknown = 'vm_unknown',
  AlreadyDraining = 'already_draining',
  NotDraining = 'not_draining',
  SnapshotOlder = 'snapshot_older',
  BudgetExceeded = 'budget_exceeded',
  BudgetBroken = 'budget_broken',
  LeavingLimit = 'leaving_limit',
  StaleTerm = 'stale_term',
  EpochMoved = 'epoch_moved',
  PoolUnknown = 'pool_unknown',
  WorkUnknown = 'work_unknown',
  WorkState = 'work_state',
  DrainOutstanding = 'drain_outstanding',
  WaveUnknown = 'wave_unknown',
  WaveState = 'wave_state',
  WaveOverlap = 'wave_overlap',
  TeamUnknown = 'team_unknown',
  QuotaExceeded = 'quota_exceeded',
  JobUnknown = 'job_unknown',
  JobDuplicate = 'job_duplicate',
  JobState = 'job_state',
  JobImpossible = 'job_impossible',
}

/** Why a record had no effect, as a code and as text. */
export interface Rejection {
  readonly reason: RejectionReason;
  /** Explanation for operators: what is wrong and what to do. */
  readonly detail: string;
}

/** A proposed bundle that waits for sign-offs. */
export interface ProposedBundle {
  readonly bundle: Bundle;
  readonly text: string;
  readonly digest: string;
  /** Operators whose sign-offs were accepted, in log order. */
  readonly signers: readonly string[];
  /** The parsed sections, so that the cost of a delta depends only on what it changes. */
  readonly parsed: ParsedBundle;
}

/** The bundle in force at all daemons. */
export interface BundleInForce {
  readonly bundle: Bundle;
  readonly text: string;
  readonly digest: string;
  /** Offset of the sign-off that brought it into force. */
  readonly offset: number;
  /** The parsed sections, so that the cost of a delta depends only on what it changes. */
  readonly parsed: ParsedBundle;
}

/** An entry daemon that may be routing requests. */
export interface Member {
  readonly name: string;
  readonly incarnation: string;
  readonly dataCentre: string;
  readonly peerAddress: string;
  /** Highest record format that the daemon can read. */
  readonly readsFormat: number;
}

/** Ownership of a VM according to the log. */
export interface VmOwnership {
  readonly id: string;
  /** The one pool that owns it. */
  readonly pool: string;
  /** Increases with each change of owner. */
  readonly epoch: number;
  /** Why the VM accepts no new work; undefined if it does. */
  readonly drainReason?: string;
}

/** Refers to a snapshot that is stored completely in the log. */
export interface SnapshotReference {
  /** Offset of the fleet stream up to which the snapshot was folded. */
  readonly offset: number;
  /** SHA-256 of the snapshot, in hexadecimal. */
  readonly digest: string;
  readonly bytes: number;
  /**
   * Wall-clock time of its writer in milliseconds since the Unix epoch; only used to time the
   * next snapshot.
   */
  readonly at: number;
}

/** Key of the newest entry of `FleetState.snapshots`. */
export const NEWEST_SNAPSHOT_KEY = 'newest';

/** History entry of a bundle that came into force. */
export interface BundleHistoryEntry {
  readonly version: number;
  readonly author: string;
  readonly digest: string;
  readonly signers: readonly string[];
  /** Offset of the sign-off that brought it into force. */
  readonly offset: number;
}

/** Ed25519 public keys by name of the operators that are trusted before the first bundle. */
export type TrustedOperators = Readonly<Record<string, string>>;

/**
 * The state that all daemons agree on, as of one offset of the fleet stream. It is kept in
 * `HashedTable`s of plain values; the hash and the snapshots include every such field
 * automatically.
 */
export interface FleetState extends PlanningState {
  /** Offset of the next record to apply. */
  nextOffset: number;
  /**
   * Records of a higher format have no effect; a record raises it once all members can read
   * that format.
   */
  formatInUse: number;
  inForce: BundleInForce | undefined;
  readonly proposals: HashedTable<ProposedBundle>;
  /** Bundles that recently came into force, by version, oldest first; includes the one in force. */
  readonly history: HashedTable<BundleHistoryEntry>;
  readonly members: HashedTable<Member>;
  readonly vms: HashedTable<VmOwnership>;
  /** The newest snapshot, under `NEWEST_SNAPSHOT_KEY`. */
  readonly snapshots: HashedTable<SnapshotReference>;
  /** Offsets of recent records by record id, oldest first. */
  readonly recentIds: HashedTable<number>;
  readonly trustedOperators: TrustedOperators;
  /** A local cache; not part of the agreed state. */
  readonly parsedBundleCache: ParsedBundleCache;
}

/** Returns the state before the first record. */
export function emptyFleetState(
  trustedOperators: TrustedOperators,
): FleetState {
  return {
    nextOffset: 0,
    formatInUse: 1,
    inForce: undefined,
    proposals: new HashedTable(({digest, signers}) => [digest, signers]),
    history: new HashedTable(),
    members: new HashedTable(),
    vms: new HashedTable(),
    snapshots: new HashedTable(),
    recentIds: new HashedTable(),
    ...emptyPlanningState(),
    trustedOperators: trustedOperators,
    parsedBundleCache: new ParsedBundleCache(),
  };
}

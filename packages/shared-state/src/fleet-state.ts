import {emptyPlanningState, type PlanningState} from './planning-state.js';
import type {Bundle} from './bundle.js';
import type {ParsedBundle} from './bundle-text.js';
import {HashedTable} from './hashed-table.js';
import {ParsedBundleCache} from './parsed-bundle-cache.js';

/** Why a record had no effect. */
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

/** A record that the fold did not accept. */
export interface Rejection {
  readonly reason: RejectionReason;
  /** One sentence that operators can act on. */
  readonly detail: string;
}

/** A bundle waiting for sign-offs. */
export interface ProposedBundle {
  readonly bundle: Bundle;
  readonly text: string;
  readonly digest: string;
  /** Operators whose sign-off counts, in order. */
  readonly signers: readonly string[];
  /** The text section by section, so that a delta on it costs only what it changes. */
  readonly parsed: ParsedBundle;
}

/** The bundle that all daemons follow. */
export interface BundleInForce {
  readonly bundle: Bundle;
  readonly text: string;
  readonly digest: string;
  /** Offset of the sign-off that brought it into force. */
  readonly offset: number;
  /** The text section by section, so that a delta on it costs only what it changes. */
  readonly parsed: ParsedBundle;
}

/** An entry daemon that may be routing. */
export interface Member {
  readonly name: string;
  readonly incarnation: string;
  readonly dataCentre: string;
  readonly peerAddress: string;
  /** Highest record format that it reads. */
  readonly readsFormat: number;
}

/** A VM as the log says. */
export interface VmOwnership {
  readonly id: string;
  /** The one pool that owns it. */
  readonly pool: string;
  /** Rises with every change of owner. */
  readonly epoch: number;
  /** Why it takes no new work; undefined when it does. */
  readonly drainReason?: string;
}

/** A snapshot that stands whole in the log. */
export interface SnapshotReference {
  /** Offset of the fleet stream that it was folded to. */
  readonly offset: number;
  /** SHA-256 of it, in hexadecimal. */
  readonly digest: string;
  readonly bytes: number;
  /** Wall clock of its writer, in milliseconds since the Unix epoch: paces the next, no more. */
  readonly at: number;
}

/** Key of the newest entry of `FleetState.snapshots`. */
export const NEWEST_SNAPSHOT_KEY = 'newest';

/** A bundle that came into force, as the history keeps it. */
export interface BundleHistoryEntry {
  readonly version: number;
  readonly author: string;
  readonly digest: string;
  readonly signers: readonly string[];
  /** Offset of the sign-off that brought it into force. */
  readonly offset: number;
}

/** Operators trusted before the first bundle: name to Ed25519 public key. */
export type TrustedOperators = Readonly<Record<string, string>>;

/**
 * Everything agreed, as of one offset of the fleet stream. What is agreed stands in
 * `HashedTable`s of plain values: hash and snapshots take in each such field by itself.
 */
export interface FleetState extends PlanningState {
  /** Offset of the next record to apply. */
  nextOffset: number;
  /** Records of a higher format have no effect yet; rises by a record when all members read it. */
  formatInUse: number;
  inForce: BundleInForce | undefined;
  readonly proposals: HashedTable<ProposedBundle>;
  /** Bundles that came into force lately, by version, oldest first; the one in force included. */
  readonly history: HashedTable<BundleHistoryEntry>;
  readonly members: HashedTable<Member>;
  readonly vms: HashedTable<VmOwnership>;
  /** The newest snapshot, under `NEWEST_SNAPSHOT`. */
  readonly snapshots: HashedTable<SnapshotReference>;
  /** Ids of recent records with their offsets, oldest first. */
  readonly recentIds: HashedTable<number>;
  readonly trustedOperators: TrustedOperators;
  /** No part of what is agreed. */
  readonly parsedBundleCache: ParsedBundleCache;
}

/** The state before the first record. */
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

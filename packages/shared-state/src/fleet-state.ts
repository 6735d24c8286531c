import type {Bundle} from './bundle.js';

/** Why a record had no effect. */
export enum RejectionReason {
  Unreadable = 'unreadable',
  Duplicate = 'duplicate',
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
  BudgetExceeded = 'budget_exceeded',
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
  readonly signers: Set<string>;
}

/** The bundle that all daemons follow. */
export interface BundleInForce {
  readonly bundle: Bundle;
  readonly text: string;
  readonly digest: string;
  /** Offset of the sign-off that brought it into force. */
  readonly offset: number;
}

/** An entry daemon that may be routing. */
export interface Member {
  readonly name: string;
  readonly incarnation: string;
  readonly dataCentre: string;
  readonly peerAddress: string;
}

/** A VM as the log says. */
export interface VmRecord {
  readonly id: string;
  /** The one pool that owns it. */
  readonly pool: string;
  /** Rises with every change of owner. */
  readonly epoch: number;
  /** Why it takes no new work; undefined when it does. */
  readonly drainReason?: string;
}

/** Operators trusted before the first bundle: name to Ed25519 public key. */
export type TrustedOperators = Readonly<Record<string, string>>;

/** Everything agreed, as of one offset of the fleet stream. */
export interface FleetState {
  /** Offset of the next record to apply. */
  nextOffset: number;
  inForce: BundleInForce | undefined;
  readonly proposals: Map<string, ProposedBundle>;
  readonly members: Map<string, Member>;
  readonly vms: Map<string, VmRecord>;
  readonly trusted: TrustedOperators;
  /** Ids of recent records, oldest first. */
  readonly recentIds: Set<string>;
}

/** The state before the first record. */
export function emptyFleetState(trusted: TrustedOperators): FleetState {
  return {
    nextOffset: 0,
    inForce: undefined,
    proposals: new Map(),
    members: new Map(),
    vms: new Map(),
    trusted,
    recentIds: new Set(),
  };
}

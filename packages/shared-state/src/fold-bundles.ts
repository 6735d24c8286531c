import {toError} from '@gentiandoor/kernel';
import type {Bundle} from './bundle.js';
import {parseSections} from './bundle-parser.js';
import {applyDelta, type ParsedBundle} from './bundle-text.js';
import {
  RejectionReason,
  type FleetState,
  type ProposedBundle,
  type Rejection,
} from './fleet-state.js';
import type {BundleChanged, BundleProposed, BundleSigned} from './records.js';
import {sha256Hex, verifyBundle} from './signatures.js';

/** Maximum bundles in the history: several days for a typical deployment. */
const MAXIMUM_HISTORY_ENTRIES = 50;

/** Maximum open proposals; the oldest is evicted first. */
const MAXIMUM_PROPOSALS = 64;
const MAXIMUM_DETAIL_CHARACTERS = 5000;

/** Adds a proposal for sign-off if it is based on the version in force. */
export function applyBundleProposed(
  state: FleetState,
  record: BundleProposed,
): Rejection | undefined {
  return addProposal(state, record.text, sha256Hex(record.text));
}

/** Adds a proposal that a delta describes relative to the bundle in force. */
export function applyBundleChanged(
  state: FleetState,
  record: BundleChanged,
): Rejection | undefined {
  const {inForce} = state;
  if (!inForce || inForce.digest !== record.baseDigest) {
    return {
      reason: RejectionReason.BundleConflict,
      detail: `the delta was made from digest ${record.baseDigest}, but ${inForce?.digest ?? 'nothing'} is in force; make it again`,
    };
  }
  let text: string;
  try {
    text = applyDelta(inForce.parsed.sections, record.steps);
  } catch (error) {
    return invalidBundleRejection(error);
  }
  if (sha256Hex(text) !== record.digest) {
    return {
      reason: RejectionReason.BundleDigestDiffers,
      detail:
        'the digest of the text that the delta produces differs from the digest in the record',
    };
  }
  return addProposal(state, text, record.digest);
}

function addProposal(
  state: FleetState,
  text: string,
  digest: string,
): Rejection | undefined {
  let parsed: ParsedBundle;
  try {
    parsed =
      state.parsedBundleCache.get(digest) ??
      parseSections(text, state.inForce?.parsed);
  } catch (error) {
    return invalidBundleRejection(error);
  }
  const {bundle} = parsed;
  const conflict = checkBaseVersion(state, bundle);
  if (conflict) return conflict;
  if (state.proposals.has(digest)) return undefined;
  state.proposals.set(digest, {bundle, text, digest, signers: [], parsed});
  if (state.proposals.size > MAXIMUM_PROPOSALS) {
    const [oldest] = state.proposals.keys();
    state.proposals.delete(oldest);
  }
  return activateIfSigned(state, digest, state.nextOffset - 1);
}

function invalidBundleRejection(error: unknown): Rejection {
  const {message} = toError(error);
  return {
    reason: RejectionReason.BundleInvalid,
    detail: message.slice(0, MAXIMUM_DETAIL_CHARACTERS),
  };
}

/** Counts a sign-off; the last one that is required brings the bundle into force. */
export function applyBundleSigned(
  state: FleetState,
  record: BundleSigned,
  offset: number,
): Rejection | undefined {
  const proposal = state.proposals.get(record.digest);
  if (!proposal) {
    return {
      reason: RejectionReason.BundleUnknown,
      detail: `no proposal with digest ${record.digest}; propose it again on the version in force`,
    };
  }
  const refusal = checkSigner(state, proposal, record);
  if (refusal) return refusal;
  if (!proposal.signers.includes(record.operator)) {
    const signers = [...proposal.signers, record.operator];
    state.proposals.set(record.digest, {...proposal, signers});
  }
  return activateIfSigned(state, record.digest, offset);
}

function checkBaseVersion(
  state: FleetState,
  bundle: Bundle,
): Rejection | undefined {
  const version = state.inForce?.bundle.version ?? 0;
  if (bundle.base === version && bundle.version > version) return undefined;
  return {
    reason: RejectionReason.BundleConflict,
    detail: `version ${bundle.version} was made from ${bundle.base}, but ${version} is in force; make it again from ${version}`,
  };
}

function checkSigner(
  state: FleetState,
  proposal: ProposedBundle,
  record: BundleSigned,
): Rejection | undefined {
  if (record.version !== proposal.bundle.version) {
    return {
      reason: RejectionReason.BundleDigestDiffers,
      detail: `the digest belongs to version ${proposal.bundle.version}`,
    };
  }
  const operator = findOperator(state, record.operator);
  if (!operator) {
    return {
      reason: RejectionReason.SignerUnknown,
      detail: `operator ${record.operator} is not in the bundle in force`,
    };
  }
  if (operator.revoked) {
    return {
      reason: RejectionReason.SignerRevoked,
      detail: `the key of ${record.operator} is revoked`,
    };
  }
  if (record.operator === proposal.bundle.author) {
    return {
      reason: RejectionReason.SignerIsAuthor,
      detail: `${record.operator} is the author; another operator must sign off`,
    };
  }
  if (
    !verifyBundle(
      operator.publicKey,
      record.version,
      record.digest,
      record.signature,
    )
  ) {
    return {
      reason: RejectionReason.SignatureWrong,
      detail: `the signature was not made with the key of ${record.operator} for this bundle`,
    };
  }
  return undefined;
}

function findOperator(state: FleetState, name: string) {
  const {operators} = state.inForce?.bundle ?? {};
  if (operators)
    return Object.hasOwn(operators, name) ? operators[name] : undefined;
  if (!Object.hasOwn(state.trustedOperators, name)) return undefined;
  return {publicKey: state.trustedOperators[name], revoked: false};
}

function signOffsNeeded(state: FleetState, bundle: Bundle): number {
  return state.inForce
    ? state.inForce.bundle.signOffs
    : Math.max(1, bundle.signOffs);
}

function activateIfSigned(
  state: FleetState,
  digest: string,
  offset: number,
): Rejection | undefined {
  const proposal = state.proposals.get(digest);
  if (!proposal) return undefined;
  if (proposal.signers.length < signOffsNeeded(state, proposal.bundle))
    return undefined;
  const {bundle, text, parsed} = proposal;
  state.inForce = {bundle, text, digest, offset, parsed};
  addToHistory(state, proposal, offset);
  state.proposals.clear();
  assignUnownedVms(state, bundle);
  return undefined;
}

function addToHistory(
  {history}: FleetState,
  {bundle, digest, signers}: ProposedBundle,
  offset: number,
): void {
  const {version, author} = bundle;
  history.set(String(version), {version, author, digest, signers, offset});
  if (history.size <= MAXIMUM_HISTORY_ENTRIES) return;
  const oldest = Math.min(...[...history.values()].map(past => past.version));
  history.delete(String(oldest));
}

/**
 * Assigns VMs without an owner to the pool that lists them; the owner of others changes only by
 * moves.
 */
function assignUnownedVms(state: FleetState, bundle: Bundle): void {
  for (const [pool, entry] of Object.entries(bundle.pools)) {
    for (const id of entry.vms) {
      if (!state.vms.has(id)) state.vms.set(id, {id, pool, epoch: 1});
    }
  }
}

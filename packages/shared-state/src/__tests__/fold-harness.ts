import {createPrivateKey, createPublicKey} from 'node:crypto';
import {
  RecordKind,
  applyPayload,
  sha256Hex,
  emptyFleetState,
  encodeRecord,
  signBundle,
  type BundleProposed,
  type BundleSigned,
  type FleetRecord,
  type FleetState,
  type FoldOutcome,
  type OperatorKeys,
} from '../index.js';

/** PKCS8 prefix of an Ed25519 private key; the 32 bytes of the key follow. */
const PKCS8_PREFIX = Buffer.from('302e020100300506032b657004220420', 'hex');

function keysFromSeed(seed: number): OperatorKeys {
  const der = Buffer.concat([PKCS8_PREFIX, Buffer.alloc(32, seed)]);
  const key = createPrivateKey({key: der, format: 'der', type: 'pkcs8'});
  const publicKey = createPublicKey(key).export({type: 'spki', format: 'der'});
  return {
    publicKey: publicKey.toString('base64'),
    privateKey: der.toString('base64'),
  };
}

/** Key pairs of the test operators by name. */
export const OPERATORS: Readonly<Record<string, OperatorKeys>> = {
  moana: keysFromSeed(1),
  kerry: keysFromSeed(2),
  tui: keysFromSeed(3),
};

/** Options of a test bundle. */
export interface BundleTextOptions {
  readonly version: number;
  readonly base: number;
  readonly author?: string;
  readonly signOffs?: number;
  readonly revoked?: readonly string[];
  readonly slots?: number;
  readonly pool?: string;
}

/** Returns the text of a bundle with one pool of four VMs. */
export function bundleText(choice: BundleTextOptions): string {
  const pool = choice.pool ?? 'counter-preview';
  const operators = Object.entries(OPERATORS).map(
    ([name, {publicKey}]) => `[operator.${name}]
public_key = ${publicKey}
revoked = ${choice.revoked?.includes(name) ? 'yes' : 'no'}
`,
  );
  return `[bundle]
version = ${choice.version}
base = ${choice.base}
author = ${choice.author ?? 'moana'}
sign_offs = ${choice.signOffs ?? 1}
${operators.join('')}[rack.hall-a-r1]
data_centre = hall-a
vms = hall-a-r1-[1-4]
[pool.${pool}]
vms = hall-a-r1-[1-4]
slots = ${choice.slots ?? 8}
[service.${pool}]
pool = ${pool}
`;
}

let records = 0;

/** Returns a record header with a unique id. */
export function nextRecordHead(writer = 'moana') {
  return {id: `record-${++records}`, writer};
}

/** Creates a record that proposes a bundle. */
export function proposalRecord(text: string): BundleProposed {
  return {...nextRecordHead(), kind: RecordKind.BundleProposed, text};
}

/** Creates a sign-off record, signed with the key of the operator `key`. */
export function signOffRecord(
  text: string,
  version: number,
  operator: string,
  key = operator,
): BundleSigned {
  const digest = sha256Hex(text);
  const {privateKey} = OPERATORS[key];
  return {
    ...nextRecordHead(operator),
    kind: RecordKind.BundleSigned,
    version,
    digest,
    operator,
    signature: signBundle(privateKey, version, digest),
  };
}

/** Returns an empty state that trusts all test operators. */
export function emptyState(): FleetState {
  return emptyFleetState(
    Object.fromEntries(
      Object.entries(OPERATORS).map(([name, keys]) => [name, keys.publicKey]),
    ),
  );
}

/** Encodes a record and applies it to the state. */
export function apply(state: FleetState, record: FleetRecord): FoldOutcome {
  return applyPayload(state, encodeRecord(record));
}

/**
 * Proposes and signs off a bundle; returns the outcome of the sign-off, or of a rejected
 * proposal.
 */
export function proposeAndSignOff(
  state: FleetState,
  choice: BundleTextOptions,
  signer = 'kerry',
): FoldOutcome {
  const text = bundleText(choice);
  const proposed = apply(state, proposalRecord(text));
  if (proposed.rejection) return proposed;
  return apply(state, signOffRecord(text, choice.version, signer));
}

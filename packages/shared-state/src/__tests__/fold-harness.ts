import {createPrivateKey, createPublicKey} from 'node:crypto';
import {
  RecordKind,
  applyPayload,
  digestOf,
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

/** PKCS8 head of an Ed25519 private key; the 32 bytes of the key follow. */
const KEY_HEAD = Buffer.from('302e020100300506032b657004220420', 'hex');

function fixedKeys(seed: number): OperatorKeys {
  const der = Buffer.concat([KEY_HEAD, Buffer.alloc(32, seed)]);
  const key = createPrivateKey({key: der, format: 'der', type: 'pkcs8'});
  const publicKey = createPublicKey(key).export({type: 'spki', format: 'der'});
  return {
    publicKey: publicKey.toString('base64'),
    privateKey: der.toString('base64'),
  };
}

/** Operators of the tests by name. */
export const OPERATORS: Readonly<Record<string, OperatorKeys>> = {
  moana: fixedKeys(1),
  kerry: fixedKeys(2),
  tui: fixedKeys(3),
};

/** What a test's bundle says. */
export interface BundleChoice {
  readonly version: number;
  readonly base: number;
  readonly author?: string;
  readonly signOffs?: number;
  readonly revoked?: readonly string[];
  readonly slots?: number;
  readonly pool?: string;
}

/** A bundle of one pool with four VMs. */
export function bundleText(choice: BundleChoice): string {
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

/** A head of a record that no other has. */
export function head(writer = 'moana') {
  return {id: `record-${++records}`, writer};
}

export function proposalOf(text: string): BundleProposed {
  return {...head(), kind: RecordKind.BundleProposed, text};
}

/** A sign-off; `key` is the operator's own unless another is named. */
export function signOff(
  text: string,
  version: number,
  operator: string,
  key = operator,
): BundleSigned {
  const digest = digestOf(text);
  const {privateKey} = OPERATORS[key];
  return {
    ...head(operator),
    kind: RecordKind.BundleSigned,
    version,
    digest,
    operator,
    signature: signBundle(privateKey, version, digest),
  };
}

export function emptyState(): FleetState {
  return emptyFleetState(
    Object.fromEntries(
      Object.entries(OPERATORS).map(([name, keys]) => [name, keys.publicKey]),
    ),
  );
}

export function apply(state: FleetState, record: FleetRecord): FoldOutcome {
  return applyPayload(state, encodeRecord(record));
}

/** Proposes and signs off; the outcome of the sign-off. */
export function rollOut(
  state: FleetState,
  choice: BundleChoice,
  signer = 'kerry',
): FoldOutcome {
  const text = bundleText(choice);
  const proposed = apply(state, proposalOf(text));
  if (proposed.rejection) return proposed;
  return apply(state, signOff(text, choice.version, signer));
}

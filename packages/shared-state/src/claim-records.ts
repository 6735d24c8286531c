import {createHash} from 'node:crypto';
import {Packr} from 'msgpackr';
import type {KeyedRequest} from './idempotency.js';

/** Version of the encoding of claim batches; readers reject other versions. */
export const CLAIM_FORMAT = 1;

const KEY_BYTES = 16;
const FINGERPRINT_BYTES = 8;
const BATCH_FIELDS = 7;

const packr = new Packr({useRecords: false});

/** How a claimed request ended, as far as the log records it. */
export enum ClaimOutcome {
  /** A target ran it. */
  Finished = 'finished',
  /** The outcome is unknown: a target may have run it. */
  Lost = 'lost',
}

/**
 * Identifies one attempt of a daemon to run a key; unique together with the holder's
 * incarnation.
 */
export interface ClaimReference {
  /** Digest of caller, service and key, from `claimKeyDigest`. */
  readonly key: string;
  /** Number of the attempt, counted per incarnation. */
  readonly attempt: number;
}

/** Requests the right to run a key. */
export interface ClaimRequest extends ClaimReference {
  /** Digest of the request, from `claimFingerprintDigest`. */
  readonly fingerprint: string;
}

/** Reports how a claimed request ended. */
export interface ClaimOutcomeReport extends ClaimReference {
  readonly end: ClaimOutcome;
}

/**
 * One payload of the claims stream: everything that was queued at one daemon. `sequence`
 * increases with each batch that an incarnation sends, whether or not the previous append
 * succeeded. A batch that is appended late or twice follows one with a higher or equal
 * sequence and is dropped.
 */
export interface ClaimBatch {
  /** Incarnation of the daemon that wrote the batch. */
  readonly holder: string;
  readonly sequence: number;
  readonly claims: readonly ClaimRequest[];
  readonly releases: readonly ClaimReference[];
  readonly outcomes: readonly ClaimOutcomeReport[];
  /** Incarnation that took over the held responses; empty if there is none. */
  readonly heir: string;
}

/** A payload that this version cannot decode. */
export interface UnreadableClaimBatch {
  readonly unreadable: string;
}

/** Returns the digest that identifies a key in claims: 16 bytes, one character per byte. */
export function claimKeyDigest(request: KeyedRequest): string {
  const {caller, service, key} = request;
  return digest(JSON.stringify([caller, service, key]), KEY_BYTES);
}

/** Returns the 8-byte digest that detects the reuse of a key for a different request. */
export function claimFingerprintDigest(request: KeyedRequest): string {
  return digest(request.fingerprint, FINGERPRINT_BYTES);
}

function digest(text: string, bytes: number): string {
  return createHash('sha256')
    .update(text)
    .digest()
    .subarray(0, bytes)
    .toString('latin1');
}

/** Encodes a batch for the log. */
export function encodeClaimBatch(batch: ClaimBatch): Uint8Array {
  return packr.pack([
    CLAIM_FORMAT,
    batch.holder,
    batch.sequence,
    batch.claims.map(item => [
      toBytes(item.key),
      item.attempt,
      toBytes(item.fingerprint),
    ]),
    batch.releases.map(item => [toBytes(item.key), item.attempt]),
    batch.outcomes.map(item => [
      toBytes(item.key),
      item.attempt,
      item.end === ClaimOutcome.Finished,
    ]),
    batch.heir,
  ]);
}

/** Decodes a payload of the claims stream; never throws. */
export function decodeClaimBatch(
  payload: Uint8Array,
): ClaimBatch | UnreadableClaimBatch {
  try {
    return readBatch(packr.unpack(payload));
  } catch (error) {
    return {unreadable: String(error)};
  }
}

function readBatch(value: unknown): ClaimBatch {
  if (!Array.isArray(value))
    throw new Error('expected a batch of claims as an array');
  const fields = value as unknown[];
  if (fields[0] !== CLAIM_FORMAT)
    throw new Error(`unsupported claim format ${String(fields[0])}`);
  if (fields.length !== BATCH_FIELDS)
    throw new Error(`${fields.length} fields found in a batch of claims`);
  const [, holder, sequence, claims, releases, outcomes, heir] = fields;
  return {
    holder: requireString(holder),
    sequence: requireInteger(sequence),
    claims: requireRows(claims).map(([key, attempt, fingerprint]) => ({
      key: fromBytes(key, KEY_BYTES),
      attempt: requireInteger(attempt),
      fingerprint: fromBytes(fingerprint, FINGERPRINT_BYTES),
    })),
    releases: requireRows(releases).map(readReference),
    outcomes: requireRows(outcomes).map(item => ({
      ...readReference(item),
      end: item[2] === true ? ClaimOutcome.Finished : ClaimOutcome.Lost,
    })),
    heir: requireString(heir),
  };
}

function readReference([key, attempt]: readonly unknown[]): ClaimReference {
  return {key: fromBytes(key, KEY_BYTES), attempt: requireInteger(attempt)};
}

function toBytes(characters: string): Buffer {
  return Buffer.from(characters, 'latin1');
}

function fromBytes(value: unknown, length: number): string {
  if (!(value instanceof Uint8Array) || value.length !== length)
    throw new Error(`expected ${length} bytes`);
  return Buffer.from(value.buffer, value.byteOffset, length).toString('latin1');
}

function requireString(value: unknown): string {
  if (typeof value !== 'string') throw new Error('expected a string');
  return value;
}

function requireInteger(value: unknown): number {
  if (!Number.isSafeInteger(value)) throw new Error('expected a whole number');
  return value as number;
}

function requireRows(value: unknown): ReadonlyArray<readonly unknown[]> {
  if (!Array.isArray(value) || !value.every(item => Array.isArray(item)))
    throw new Error('expected a list of lists');
  return value as unknown[][];
}

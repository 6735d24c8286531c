import {createHash} from 'node:crypto';
import {Packr} from 'msgpackr';
import type {KeyedRequest} from './idempotency.js';

/** Version of the encoding of claim batches; a reader keeps out what is newer. */
export const CLAIM_FORMAT = 1;

const KEY_BYTES = 16;
const FINGERPRINT_BYTES = 8;
const BATCH_FIELDS = 7;

const packr = new Packr({useRecords: false});

/** How a claimed request ended, as far as the log knows. */
export enum ClaimOutcome {
  /** A target ran it. */
  Finished = 'finished',
  /** It may have been run. */
  Lost = 'lost',
}

/** Names one try of one daemon to run a key; unique with the holder's incarnation. */
export interface ClaimReference {
  /** Digest of caller, service and key, as `claimKey` gives it. */
  readonly key: string;
  /** Counts the tries of one incarnation. */
  readonly attempt: number;
}

/** The wish to run a key. */
export interface ClaimRequest extends ClaimReference {
  /** Digest of the request, as `claimFingerprint` gives it. */
  readonly fingerprint: string;
}

/** How a claimed request ended. */
export interface ClaimOutcomeReport extends ClaimReference {
  readonly end: ClaimOutcome;
}

/**
 * One payload of the claims stream: everything that had gathered at one daemon.
 * `sequence` rises with each batch that an incarnation sends, whatever became of the
 * one before: a batch that lands late or twice stands behind its successor and is dropped.
 */
export interface ClaimBatch {
  /** Incarnation of the daemon that wrote it. */
  readonly holder: string;
  readonly sequence: number;
  readonly claims: readonly ClaimRequest[];
  readonly releases: readonly ClaimReference[];
  readonly outcomes: readonly ClaimOutcomeReport[];
  /** Incarnation that took over the held answers; empty where none did. */
  readonly heir: string;
}

/** A payload that this version cannot read. */
export interface UnreadableClaimBatch {
  readonly unreadable: string;
}

/** The digest under which a key is claimed: 16 bytes, one character each. */
export function claimKeyDigest(request: KeyedRequest): string {
  const {caller, service, key} = request;
  return digest(JSON.stringify([caller, service, key]), KEY_BYTES);
}

/** The digest by which a key's reuse for another request is seen: 8 bytes. */
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
  if (!Array.isArray(value)) throw new Error('not a batch of claims');
  const fields = value as unknown[];
  if (fields[0] !== CLAIM_FORMAT)
    throw new Error(`claim format ${String(fields[0])}`);
  if (fields.length !== BATCH_FIELDS)
    throw new Error(`${fields.length} fields in a batch of claims`);
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

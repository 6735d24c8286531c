import {createHash} from 'node:crypto';
import type {SharedState} from '@gentiandoor/shared-state';

const BEARER = /^Bearer ([\x21-\x7e]{1,512})$/i;
const REMEMBERED_KEYS = 1000;

/** A caller that the bundle in force names. */
export interface KnownCaller {
  readonly name: string;
  readonly team: string;
}

/**
 * Finds the caller by its key. Digests are compared by a map look-up: the caller cannot
 * choose the digest, so the time taken tells nothing about the keys in the bundle.
 */
export class CallerDirectory {
  private digest = '';
  private callers = new Map<string, KnownCaller>();
  /** Saves a SHA-256 for each request of a caller seen lately. */
  private readonly remembered = new Map<string, KnownCaller>();

  private readonly sharedState: SharedState;

  constructor({sharedState}: {sharedState: SharedState}) {
    this.sharedState = sharedState;
  }

  /** The caller of an `Authorization` header, or undefined. */
  find(authorization: string | undefined): KnownCaller | undefined {
    if (authorization === undefined) return undefined;
    this.followBundle();
    const known = this.remembered.get(authorization);
    if (known) return known;
    const key = BEARER.exec(authorization)?.[1];
    if (key === undefined) return undefined;
    const caller = this.callers.get(sha256(key));
    if (caller) this.remember(authorization, caller);
    return caller;
  }

  private remember(authorization: string, caller: KnownCaller): void {
    if (this.remembered.size >= REMEMBERED_KEYS) this.remembered.clear();
    this.remembered.set(authorization, caller);
  }

  private followBundle(): void {
    const {inForce} = this.sharedState.state;
    if (!inForce || inForce.digest === this.digest) return;
    this.digest = inForce.digest;
    this.remembered.clear();
    this.callers = new Map(
      Object.entries(inForce.bundle.callers).map(([name, entry]) => [
        entry.keyDigest,
        {name, team: entry.team},
      ]),
    );
  }
}

function sha256(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}

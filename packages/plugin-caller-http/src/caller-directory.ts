import {createHash} from 'node:crypto';
import type {SharedState} from '@gentiandoor/shared-state';

const BEARER = /^Bearer ([\x21-\x7e]{1,512})$/i;
const MAXIMUM_CACHED_KEYS = 1000;

/** A caller that is named in the bundle in force, with its team. */
export interface AuthenticatedCaller {
  readonly name: string;
  readonly team: string;
}

/**
 * Finds callers by their key. Digests are compared by a map lookup: a caller cannot choose the
 * digest, so the time of the lookup reveals nothing about the keys in the bundle.
 */
export class CallerDirectory {
  private bundleDigest = '';
  private callersByKeyDigest = new Map<string, AuthenticatedCaller>();
  /** Cache that saves a SHA-256 for each request of a recently seen caller. */
  private readonly callersByAuthorization = new Map<
    string,
    AuthenticatedCaller
  >();

  private readonly sharedState: SharedState;

  constructor({sharedState}: {sharedState: SharedState}) {
    this.sharedState = sharedState;
  }

  /** Returns the caller whose key an `Authorization` header holds, or undefined. */
  findByAuthorization(
    authorization: string | undefined,
  ): AuthenticatedCaller | undefined {
    if (authorization === undefined) return undefined;
    this.reloadIfBundleChanged();
    const cached = this.callersByAuthorization.get(authorization);
    if (cached) return cached;
    const key = BEARER.exec(authorization)?.[1];
    if (key === undefined) return undefined;
    const caller = this.callersByKeyDigest.get(sha256(key));
    if (caller) this.cache(authorization, caller);
    return caller;
  }

  private cache(authorization: string, caller: AuthenticatedCaller): void {
    if (this.callersByAuthorization.size >= MAXIMUM_CACHED_KEYS)
      this.callersByAuthorization.clear();
    this.callersByAuthorization.set(authorization, caller);
  }

  private reloadIfBundleChanged(): void {
    const {inForce} = this.sharedState.state;
    if (!inForce || inForce.digest === this.bundleDigest) return;
    this.bundleDigest = inForce.digest;
    this.callersByAuthorization.clear();
    this.callersByKeyDigest = new Map(
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

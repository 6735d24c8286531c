import {sleep, type Clock} from '@gentiandoor/kernel';
import {
  AccessVerdict,
  decideAccess,
  type ConfigurationAgeLimits,
  type AccessFacts,
} from './access.js';
import type {KeyOwnerIndex} from './key-owner-index.js';
import type {Organisation} from './organisation.js';

/** The configuration of keys as an access guard needs it. */
export interface KeyConfiguration {
  readonly keyOwners: KeyOwnerIndex;
  /**
   * Time in milliseconds since the current configuration was last known to be the
   * newest one.
   */
  readonly ageMilliseconds: number;
  /** Reads the configuration again; returns false if the store does not respond. */
  refresh(): Promise<boolean>;
}

/** A call for which access is decided. */
export interface AccessRequest {
  readonly isPublic: boolean;
  /** Empty if the call carries no key. */
  readonly key: string;
  /** Whether the call submits or cancels a job. */
  readonly changesJobs: boolean;
}

/** The decision on a call. */
export interface AccessDecision {
  readonly verdict: AccessVerdict;
  readonly organisation: Organisation | undefined;
}

/**
 * Minimum time between two reads of the configuration, which limits the load that
 * unknown keys put on the store, however many calls carry them.
 */
const MINIMUM_REFRESH_INTERVAL_MILLISECONDS = 250;

/**
 * Decides on calls by their keys, and reads the configuration again before it refuses
 * one.
 */
export class AccessGuard {
  private refreshedAt = -Infinity;
  /** A read that has not started yet. */
  private pendingRefresh: Promise<boolean> | undefined;

  constructor(
    private readonly source: KeyConfiguration,
    private readonly limits: ConfigurationAgeLimits,
    private readonly clock: Clock,
  ) {}

  /**
   * Returns the decision on a call, after a refresh of the configuration if it is
   * needed.
   */
  async admit(request: AccessRequest): Promise<AccessDecision> {
    const decision = this.decide(request, undefined);
    if (decision.verdict !== AccessVerdict.NeedsRefresh) return decision;
    return this.decide(request, await this.refresh());
  }

  private decide(
    {isPublic, key, changesJobs}: AccessRequest,
    wasRefreshed: boolean | undefined,
  ): AccessDecision {
    const {keyOwners, ageMilliseconds} = this.source;
    const organisation = isPublic ? undefined : keyOwners.ownerOf(key);
    const facts: AccessFacts = {
      isPublic,
      organisation,
      changesJobs,
      ageMilliseconds,
      wasRefreshed,
    };
    return {verdict: decideAccess(facts, this.limits), organisation};
  }

  /**
   * Calls share the next read, since a read in flight may have missed the change that
   * they are waiting for.
   */
  private refresh(): Promise<boolean> {
    this.pendingRefresh ??= this.refreshAfterInterval();
    return this.pendingRefresh;
  }

  private async refreshAfterInterval(): Promise<boolean> {
    const now = this.clock.monotonicMilliseconds();
    const wait = this.refreshedAt + MINIMUM_REFRESH_INTERVAL_MILLISECONDS - now;
    await sleep(this.clock, Math.max(0, wait));
    this.pendingRefresh = undefined;
    this.refreshedAt = this.clock.monotonicMilliseconds();
    return this.source.refresh();
  }
}

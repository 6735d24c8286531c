import {sleep, type Clock} from '@gentiandoor/kernel';
import {
  AccessVerdict,
  decideAccess,
  type ConfigurationAgeLimits,
  type AccessFacts,
} from './access.js';
import type {KeyOwnerIndex} from './key-owner-index.js';
import type {Organisation} from './organisation.js';

/** The configuration as a guard needs it. */
export interface KeyConfiguration {
  readonly keyOwners: KeyOwnerIndex;
  /** Milliseconds since the configuration at hand was the newest one for certain. */
  readonly ageMilliseconds: number;
  /** Reads the configuration anew; false when the store does not answer. */
  refresh(): Promise<boolean>;
}

/** A call that is to be judged. */
export interface AccessRequest {
  readonly isPublic: boolean;
  /** Empty where the call shows none. */
  readonly key: string;
  /** Whether the call hands in or cancels a job. */
  readonly changesJobs: boolean;
}

/** How a call was judged. */
export interface AccessDecision {
  readonly verdict: AccessVerdict;
  readonly organisation: Organisation | undefined;
}

/** Unknown keys cost the store so many reads a second at most, however many calls show them. */
const MINIMUM_REFRESH_INTERVAL_MILLISECONDS = 250;

/** Judges calls by their keys, and reads the configuration again before it refuses one. */
export class AccessGuard {
  private refreshedAt = -Infinity;
  /** A reading that has not begun yet. */
  private pendingRefresh: Promise<boolean> | undefined;

  constructor(
    private readonly source: KeyConfiguration,
    private readonly bounds: ConfigurationAgeLimits,
    private readonly clock: Clock,
  ) {}

  async admit(call: AccessRequest): Promise<AccessDecision> {
    const first = this.decide(call, undefined);
    if (first.verdict !== AccessVerdict.NeedsRefresh) return first;
    return this.decide(call, await this.refresh());
  }

  private decide(
    {isPublic, key, changesJobs}: AccessRequest,
    wasVerified: boolean | undefined,
  ): AccessDecision {
    const {keyOwners: keys, ageMilliseconds} = this.source;
    const organisation = isPublic ? undefined : keys.ownerOf(key);
    const facts: AccessFacts = {
      isPublic,
      organisation,
      changesJobs,
      ageMilliseconds,
      wasRefreshed: wasVerified,
    };
    return {verdict: decideAccess(facts, this.bounds), organisation};
  }

  /** Calls share the next reading: one that is under way may have missed what they wait for. */
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

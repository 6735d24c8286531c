import {sleep, type Clock} from '@gentiandoor/kernel';
import {
  AccessVerdict,
  judgeAccess,
  type AccessBounds,
  type AccessFacts,
} from './access.js';
import type {KeyRing} from './key-ring.js';
import type {Organisation} from './organisation.js';

/** The configuration as a guard needs it. */
export interface KeySource {
  readonly keys: KeyRing;
  /** Milliseconds since the configuration at hand was the newest one for certain. */
  readonly ageMilliseconds: number;
  /** Reads the configuration anew; false when the store does not answer. */
  refresh(): Promise<boolean>;
}

/** A call that is to be judged. */
export interface GuardedCall {
  readonly isPublic: boolean;
  /** Empty where the call shows none. */
  readonly key: string;
  /** Whether the call hands in or cancels a job. */
  readonly changesJobs: boolean;
}

/** How a call was judged. */
export interface Admission {
  readonly verdict: AccessVerdict;
  readonly organisation: Organisation | undefined;
}

/** Unknown keys cost the store so many reads a second at most, however many calls show them. */
const VERIFICATION_GAP_MILLISECONDS = 250;

/** Judges calls by their keys, and reads the configuration again before it refuses one. */
export class AccessGuard {
  private verifiedAt = -Infinity;
  /** A reading that has not begun yet. */
  private upcoming: Promise<boolean> | undefined;

  constructor(
    private readonly source: KeySource,
    private readonly bounds: AccessBounds,
    private readonly clock: Clock,
  ) {}

  async admit(call: GuardedCall): Promise<Admission> {
    const first = this.judge(call, undefined);
    if (first.verdict !== AccessVerdict.Verify) return first;
    return this.judge(call, await this.verify());
  }

  private judge(
    {isPublic, key, changesJobs}: GuardedCall,
    wasVerified: boolean | undefined,
  ): Admission {
    const {keys, ageMilliseconds} = this.source;
    const organisation = isPublic ? undefined : keys.ownerOf(key);
    const facts: AccessFacts = {
      isPublic,
      organisation,
      changesJobs,
      ageMilliseconds,
      wasVerified,
    };
    return {verdict: judgeAccess(facts, this.bounds), organisation};
  }

  /** Calls share the next reading: one that is under way may have missed what they wait for. */
  private verify(): Promise<boolean> {
    this.upcoming ??= this.verifyAfterGap();
    return this.upcoming;
  }

  private async verifyAfterGap(): Promise<boolean> {
    const now = this.clock.monotonicMilliseconds();
    const wait = this.verifiedAt + VERIFICATION_GAP_MILLISECONDS - now;
    await sleep(this.clock, Math.max(0, wait));
    this.upcoming = undefined;
    this.verifiedAt = this.clock.monotonicMilliseconds();
    return this.source.refresh();
  }
}

import type {SlotShare} from './slot-share.js';
import type {TeamTerms} from './waiting-queue.js';

/** Bounds what a team has in flight over the whole deployment. */
export interface TeamQuota {
  mayStart(team: TeamTerms): boolean;
  onStart(team: TeamTerms): void;
  onEnd(team: TeamTerms): void;
}

/** No quotas: the baseline. */
export class NoTeamQuota implements TeamQuota {
  mayStart(): boolean {
    return true;
  }

  onStart(): void {}

  onEnd(): void {}
}

/**
 * Keeps each team within its slots, shared among daemons as targets' slots are.
 * Answers one team with most of the load: by weight it may still use whatever is idle, but never
 * more than the slots that its quota names, so that others find room at once when they come. A
 * daemon's part follows from what its peers last said; two daemons that both take the last slot
 * within one summary exceed the quota until the next.
 */
export class SharedTeamQuota implements TeamQuota {
  private readonly used = new Map<string, number>();

  constructor(private readonly share: SlotShare) {}

  mayStart(team: TeamTerms): boolean {
    const used = this.used.get(team.name) ?? 0;
    return used < this.share.limit(team.name, team.slots);
  }

  onStart(team: TeamTerms): void {
    this.used.set(team.name, (this.used.get(team.name) ?? 0) + 1);
  }

  onEnd(team: TeamTerms): void {
    const used = (this.used.get(team.name) ?? 1) - 1;
    if (used > 0) this.used.set(team.name, used);
    else this.used.delete(team.name);
  }

  /** Slots in use at this daemon by team, for the summary to peers. */
  uses(): ReadonlyMap<string, number> {
    return this.used;
  }
}

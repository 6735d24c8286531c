import type {SlotLimiter} from './slot-limiter.js';
import type {TeamPolicy} from './request-queue.js';

/** Bounds what a team has in flight over the whole deployment. */
export interface TeamQuota {
  mayStart(team: TeamPolicy): boolean;
  onStart(team: TeamPolicy): void;
  onEnd(team: TeamPolicy): void;
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

  constructor(private readonly limiter: SlotLimiter) {}

  mayStart(team: TeamPolicy): boolean {
    const used = this.used.get(team.name) ?? 0;
    return used < this.limiter.limit(team.name, team.slots);
  }

  onStart(team: TeamPolicy): void {
    this.used.set(team.name, (this.used.get(team.name) ?? 0) + 1);
  }

  onEnd(team: TeamPolicy): void {
    const used = (this.used.get(team.name) ?? 1) - 1;
    if (used > 0) this.used.set(team.name, used);
    else this.used.delete(team.name);
  }

  /** Slots in use at this daemon by team, for the summary to peers. */
  usage(): ReadonlyMap<string, number> {
    return this.used;
  }
}

import type {SlotLimiter} from './slot-limiter.js';
import type {TeamPolicy} from './request-queue.js';

/** Limits what a team has in flight in the whole deployment. */
export interface TeamQuota {
  mayStart(team: TeamPolicy): boolean;
  onStart(team: TeamPolicy): void;
  onEnd(team: TeamPolicy): void;
}

/** Applies no quotas: the baseline. */
export class NoTeamQuota implements TeamQuota {
  mayStart(): boolean {
    return true;
  }

  onStart(): void {}

  onEnd(): void {}
}

/**
 * Keeps each team within its slots, which daemons share in the same way as targets' slots.
 * Load: one team sends most of the requests. Weights let it use whatever is idle, but never more
 * than the slots of its quota, so that other teams find free slots at once when their requests
 * arrive. A daemon's part is derived from the last summaries of its peers; two daemons that both
 * take the last slot between summaries exceed the quota until the next one.
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

  /** Returns the slots in use at this daemon by team, for the summary to peers. */
  usage(): ReadonlyMap<string, number> {
    return this.used;
  }
}

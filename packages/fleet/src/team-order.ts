import {jobIndexOf, type FleetState} from '@gentiandoor/shared-state';

interface TeamUsage {
  readonly name: string;
  readonly urgent: boolean;
  readonly weight: number;
  readonly quota: number;
  readonly taken: Set<string>;
  slots: number;
}

/**
 * Decides which team is next in a pool's queue: urgent teams first, and among equals the team that
 * holds the fewest slots for its weight.
 * Load: a team that submits a whole night's work at once. It gets its share and the others still
 * make progress. Teams come from the bundle, so no team gains by splitting itself.
 */
export class TeamOrder {
  private readonly usageByTeam = new Map<string, TeamUsage>();

  constructor(
    private readonly state: FleetState,
    private readonly pool: string,
  ) {
    const jobs = jobIndexOf(state);
    const teams = state.inForce?.bundle.teams ?? {};
    for (const [name, queuedKeys] of jobs.queues.get(pool) ?? []) {
      if (queuedKeys.size === 0) continue;
      const team = teams[name];
      this.usageByTeam.set(name, {
        name,
        urgent: team?.urgent ?? false,
        weight: team?.weight ?? 1,
        quota: team?.slots ?? 0,
        taken: new Set(),
        slots: jobs.teamSlots(name),
      });
    }
  }

  /** Returns the team whose turn it is; undefined if none is left. */
  next(): string | undefined {
    let nextTeam: TeamUsage | undefined;
    for (const usage of this.usageByTeam.values())
      if (!nextTeam || goesBefore(usage, nextTeam)) nextTeam = usage;
    return nextTeam?.name;
  }

  /** Yields the queued keys of a team that were not taken in this round, in order of submission. */
  *queuedKeys(team: string): Iterable<string> {
    const taken = this.usageByTeam.get(team)?.taken;
    const queue = jobIndexOf(this.state).queues.get(this.pool)?.get(team) ?? [];
    for (const key of queue) if (!taken?.has(key)) yield key;
  }

  isWithinQuota(team: string, slots: number): boolean {
    const usage = this.usageByTeam.get(team);
    return usage !== undefined && usage.slots + slots <= usage.quota;
  }

  recordTaken(team: string, key: string, slots: number): void {
    const usage = this.usageByTeam.get(team);
    if (!usage) return;
    usage.slots += slots;
    usage.taken.add(key);
  }

  /** Excludes a team that has nothing more that can be placed in this round. */
  exclude(team: string): void {
    this.usageByTeam.delete(team);
  }
}

function goesBefore(left: TeamUsage, right: TeamUsage): boolean {
  if (left.urgent !== right.urgent) return left.urgent;
  return left.slots / left.weight < right.slots / right.weight;
}

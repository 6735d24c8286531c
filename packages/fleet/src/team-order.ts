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
 * Whose turn it is in a pool's queue. Urgent teams come first; among equals the one that
 * holds the fewest slots for its weight. Answers a team that submits a whole night's work at
 * once: it holds its share and the others still go on. Teams come from the bundle, so nobody
 * gains by splitting itself.
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

  /** The team whose turn it is; undefined when none is left. */
  next(): string | undefined {
    let best: TeamUsage | undefined;
    for (const turn of this.usageByTeam.values())
      if (!best || goesBefore(turn, best)) best = turn;
    return best?.name;
  }

  /** Queued keys of a team that were not taken in this round, in order of submission. */
  *queuedKeys(team: string): Iterable<string> {
    const taken = this.usageByTeam.get(team)?.taken;
    const queue = jobIndexOf(this.state).queues.get(this.pool)?.get(team) ?? [];
    for (const key of queue) if (!taken?.has(key)) yield key;
  }

  isWithinQuota(team: string, slots: number): boolean {
    const turn = this.usageByTeam.get(team);
    return turn !== undefined && turn.slots + slots <= turn.quota;
  }

  recordTaken(team: string, key: string, slots: number): void {
    const turn = this.usageByTeam.get(team);
    if (!turn) return;
    turn.slots += slots;
    turn.taken.add(key);
  }

  /** The team has nothing more that can be placed in this round. */
  exclude(team: string): void {
    this.usageByTeam.delete(team);
  }
}

function goesBefore(left: TeamUsage, right: TeamUsage): boolean {
  if (left.urgent !== right.urgent) return left.urgent;
  return left.slots / left.weight < right.slots / right.weight;
}

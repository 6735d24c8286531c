import {jobsOf, type FleetState} from '@gentiandoor/shared-state';

interface TeamTurn {
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
  private readonly turns = new Map<string, TeamTurn>();

  constructor(
    private readonly state: FleetState,
    private readonly pool: string,
  ) {
    const jobs = jobsOf(state);
    const teams = state.inForce?.bundle.teams ?? {};
    for (const [name, keys] of jobs.queues.get(pool) ?? []) {
      if (keys.size === 0) continue;
      const team = teams[name];
      this.turns.set(name, {
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
    let best: TeamTurn | undefined;
    for (const turn of this.turns.values())
      if (!best || goesBefore(turn, best)) best = turn;
    return best?.name;
  }

  /** Queued keys of a team that were not taken in this round, in order of submission. */
  *keys(team: string): Iterable<string> {
    const taken = this.turns.get(team)?.taken;
    const queue = jobsOf(this.state).queues.get(this.pool)?.get(team) ?? [];
    for (const key of queue) if (!taken?.has(key)) yield key;
  }

  hasRoom(team: string, slots: number): boolean {
    const turn = this.turns.get(team);
    return turn !== undefined && turn.slots + slots <= turn.quota;
  }

  take(team: string, key: string, slots: number): void {
    const turn = this.turns.get(team);
    if (!turn) return;
    turn.slots += slots;
    turn.taken.add(key);
  }

  /** The team has nothing more that can be placed in this round. */
  drop(team: string): void {
    this.turns.delete(team);
  }
}

function goesBefore(left: TeamTurn, right: TeamTurn): boolean {
  if (left.urgent !== right.urgent) return left.urgent;
  return left.slots / left.weight < right.slots / right.weight;
}

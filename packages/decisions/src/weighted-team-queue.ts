import type {QueuedRequest} from './request-queue.js';

/** The requests of one caller, in order of arrival. */
export class CallerFlow<Item extends QueuedRequest> {
  readonly items = new Set<Item>();

  constructor(
    readonly caller: string,
    readonly team: TeamFlow<Item>,
  ) {}

  get length(): number {
    return this.items.size;
  }

  newest(): Item | undefined {
    let newest: Item | undefined;
    for (const item of this.items) newest = item;
    return newest;
  }
}

/** The waiting callers of one team, served in turn. */
export class TeamFlow<Item extends QueuedRequest> {
  /** In order of turn: a caller that was served moves to the end. */
  readonly callers = new Map<string, CallerFlow<Item>>();
  /** Work done divided by weight; the team with the least goes next. */
  pass = 0;

  constructor(
    readonly name: string,
    readonly weight: number,
    /** Monotonic milliseconds since which it has had requests waiting without interruption. */
    readonly waitingSince: number,
  ) {}

  add(item: Item): void {
    const flow =
      this.callers.get(item.caller) ?? new CallerFlow(item.caller, this);
    this.callers.set(item.caller, flow);
    flow.items.add(item);
  }

  /** Removes the item; returns false if it is not in this flow. */
  remove(item: Item): boolean {
    const flow = this.callers.get(item.caller);
    if (!flow?.items.delete(item)) return false;
    if (flow.length === 0) this.callers.delete(item.caller);
    return true;
  }

  /**
   * Returns the first caller's item, in order of turn, that may run; only the oldest live item of
   * each caller is considered.
   */
  peek(now: number, mayRun: (item: Item) => boolean): Item | undefined {
    for (const flow of this.callers.values()) {
      for (const item of flow.items) {
        if (item.deadline <= now) continue;
        if (mayRun(item)) return item;
        break;
      }
    }
    return undefined;
  }

  /** Removes the item and moves its caller to the end of the order. */
  take(item: Item): void {
    const flow = this.callers.get(item.caller);
    if (!flow) return;
    flow.items.delete(item);
    this.callers.delete(item.caller);
    if (flow.length > 0) this.callers.set(item.caller, flow);
  }
}

/** Teams with requests of the same work length and urgency, served by weight. */
export class WeightedTeamQueue<Item extends QueuedRequest> {
  private readonly teams = new Map<string, TeamFlow<Item>>();
  /**
   * Pass of the team served last: a team that returns starts here, without credit for its absence.
   */
  private virtualTime = 0;
  private size = 0;

  get length(): number {
    return this.size;
  }

  add(item: Item, now: number): void {
    this.teamOf(item, now).add(item);
    this.size++;
  }

  /**
   * Returns the milliseconds for which the item's team has had requests waiting without
   * interruption.
   */
  waitingMilliseconds(item: Item, now: number): number {
    const team = this.teams.get(item.team.name);
    return team ? now - team.waitingSince : 0;
  }

  remove(item: Item): boolean {
    const team = this.teams.get(item.team.name);
    if (!team?.remove(item)) return false;
    this.size--;
    this.dropIfEmpty(team);
    return true;
  }

  /** Removes and returns the next item that may run, by team weight and then by caller in turn. */
  next(now: number, mayRun: (item: Item) => boolean): Item | undefined {
    let nextTeam: TeamFlow<Item> | undefined;
    let nextItem: Item | undefined;
    for (const team of this.teams.values()) {
      if (nextTeam && team.pass >= nextTeam.pass) continue;
      const item = team.peek(now, mayRun);
      if (!item) continue;
      nextTeam = team;
      nextItem = item;
    }
    if (!nextTeam || !nextItem) return undefined;
    this.serve(nextTeam, nextItem);
    return nextItem;
  }

  /**
   * Estimates how many requests are served before a new one of this item's flow: those of its own
   * flow, and for each of them the other flows' share.
   */
  requestsAhead(item: Item): number {
    const team = this.teams.get(item.team.name);
    const ownLength = team?.callers.get(item.caller)?.length ?? 0;
    const callers = team?.callers.size ?? 0;
    const turns =
      (ownLength + 1) * Math.max(1, callers + (ownLength === 0 ? 1 : 0));
    const share = this.weightShareOf(item, team);
    return Math.min(this.size, turns / share - 1);
  }

  /** Returns the longest flow of the service; undefined if no request waits. */
  longestFlow(service: string): CallerFlow<Item> | undefined {
    let longest: CallerFlow<Item> | undefined;
    for (const team of this.teams.values()) {
      for (const flow of team.callers.values()) {
        if (flow.length <= (longest?.length ?? 0)) continue;
        const [first] = flow.items;
        if (first.service === service) longest = flow;
      }
    }
    return longest;
  }

  private weightShareOf(item: Item, team: TeamFlow<Item> | undefined): number {
    let totalWeight = team ? 0 : item.team.weight;
    for (const other of this.teams.values()) totalWeight += other.weight;
    return item.team.weight / totalWeight;
  }

  private teamOf(item: Item, now: number): TeamFlow<Item> {
    const existing = this.teams.get(item.team.name);
    if (existing) return existing;
    const team = new TeamFlow<Item>(item.team.name, item.team.weight, now);
    team.pass = this.virtualTime;
    this.teams.set(item.team.name, team);
    return team;
  }

  private serve(team: TeamFlow<Item>, item: Item): void {
    this.virtualTime = team.pass;
    team.pass += 1 / team.weight;
    team.take(item);
    this.size--;
    this.dropIfEmpty(team);
  }

  private dropIfEmpty(team: TeamFlow<Item>): void {
    if (team.callers.size === 0) this.teams.delete(team.name);
  }
}

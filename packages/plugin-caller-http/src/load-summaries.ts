import {z} from 'zod';
import type {Clock, Timer} from '@gentiandoor/kernel';
import type {PeerShare, PeerUse, SharedTeamQuota} from '@gentiandoor/decisions';
import {PeerTopic, type PeerLinks} from '@gentiandoor/shared-state';
import type {PoolTable} from './pool-table.js';

/** Receivers drop what says that it holds for longer. */
const LONGEST_EXPIRY_MILLISECONDS = 60_000;
const count = z.number().int().nonnegative();

/** One pool in a summary: whether requests wait, uses by VM, and VMs that said they are leaving. */
const poolSummary = z.object({
  waiting: z.boolean(),
  uses: z.array(z.tuple([z.string(), count])),
  leaving: z.array(z.string()),
});

/** What a daemon tells its peers of its load. */
const loadSummary = z.object({
  pools: z.record(z.string(), poolSummary),
  teams: z.array(z.tuple([z.string(), count])),
  /** Milliseconds after which the summary says nothing any more. */
  expiryMilliseconds: z.number().positive().max(LONGEST_EXPIRY_MILLISECONDS),
});
type LoadSummary = z.output<typeof loadSummary>;

interface ToldUse {
  readonly pool: string;
  readonly id: string;
  readonly inFlight: number;
}

/** Five exchanges of 50 ms: shares follow a change of load within a few of them. */
const SHORTEST_MILLISECONDS = 250;
/** Requests that begin to wait are told of at once, but no more often than this. */
const HURRY_PAUSE_MILLISECONDS = 100;
/** Bytes a second to all peers; the rest of a node's 7 KB/s is for the log and keyed requests. */
const BYTES_PER_SECOND = 4000;
const BYTES_OF_USE = 12;
const BYTES_OF_HEAD = 60;
const SUMMARIES_UNTIL_EXPIRY = 4;
const MILLISECONDS_PER_SECOND = 1000;

/**
 * Tells peers what this daemon uses of targets and quotas, as often as its part of the network
 * allows, and only while it has work; takes in what they tell.
 */
export class LoadSummaries {
  private timer: Timer | undefined;
  private sentAt = -Infinity;

  constructor(
    private readonly clock: Clock,
    private readonly peerLinks: PeerLinks,
    private readonly pools: PoolTable,
    private readonly quota: SharedTeamQuota,
    private readonly quotaShare: PeerShare,
    private readonly onTick: () => void,
  ) {
    peerLinks.handle(PeerTopic.TargetSummary, (from, message) => {
      this.take(from.incarnation, message);
      return Promise.resolve(undefined);
    });
  }

  /** There is work: summaries go out until it ends. */
  wake(): void {
    if (!this.timer) this.tickIn(SHORTEST_MILLISECONDS);
  }

  /** Requests begin to wait: peers learn it before the next turn. */
  hurry(): void {
    const now = this.clock.monotonicMilliseconds();
    if (now - this.sentAt < HURRY_PAUSE_MILLISECONDS) return;
    this.timer?.cancel();
    this.tickIn(0);
  }

  private tickIn(milliseconds: number): void {
    this.timer = this.clock.schedule(milliseconds, () => this.tick());
  }

  private tick(): void {
    this.timer = undefined;
    this.sentAt = this.clock.monotonicMilliseconds();
    this.onTick();
    const peers = this.peerLinks.connected().length;
    const mostUses = mostUsesFor(peers);
    const pause = pauseFor(Math.min(this.countUses(), mostUses), peers);
    if (peers > 0) {
      const message = this.summary(pause * SUMMARIES_UNTIL_EXPIRY, mostUses);
      this.peerLinks.broadcast(PeerTopic.TargetSummary, message);
    }
    if (this.hasWork()) this.tickIn(pause);
  }

  private hasWork(): boolean {
    for (const [, pool] of this.pools.all()) {
      if (pool.inFlight > 0 || pool.waiting > 0) return true;
    }
    return false;
  }

  private countUses(): number {
    let uses = 0;
    for (const [, pool] of this.pools.all()) uses += pool.uses().size;
    return uses;
  }

  /**
   * Of more uses than may be told, the busiest targets are told. A summary of all of them would
   * have to hold for minutes to keep to its bytes, and receivers drop what is that old.
   */
  private summary(expiryMilliseconds: number, mostUses: number): LoadSummary {
    const pools: LoadSummary['pools'] = {};
    const told = this.told(mostUses);
    for (const [name, pool] of this.pools.all()) {
      const uses = told.get(name) ?? [];
      const leaving = pool.leaving();
      if (uses.length === 0 && leaving.length === 0) continue;
      pools[name] = {
        waiting: pool.waiting > 0,
        uses,
        leaving,
      };
    }
    return {pools, teams: [...this.quota.uses()], expiryMilliseconds};
  }

  /** Uses by pool, of the busiest targets where there are more than may be told. */
  private told(mostUses: number): Map<string, Array<[string, number]>> {
    const all: ToldUse[] = [];
    for (const [pool, slots] of this.pools.all())
      for (const [id, {inFlight}] of slots.uses())
        all.push({pool, id, inFlight});
    if (all.length > mostUses)
      all.sort((left, right) => right.inFlight - left.inFlight);
    const told = new Map<string, Array<[string, number]>>();
    for (const {pool, id, inFlight} of all.slice(0, mostUses)) {
      const uses = told.get(pool) ?? [];
      uses.push([id, inFlight]);
      told.set(pool, uses);
    }
    return told;
  }

  /** A malformed summary is dropped: shares go on by what targets answer. */
  private take(peer: string, message: unknown): void {
    const parsed = loadSummary.safeParse(message);
    if (!parsed.success) return;
    const {pools, teams, expiryMilliseconds} = parsed.data;
    this.quotaShare.onPeer(peer, toUses(teams, false), expiryMilliseconds);
    for (const [name, {waiting, uses, leaving}] of Object.entries(pools)) {
      const pool = this.pools.get(name);
      if (!pool) continue;
      for (const id of leaving) pool.onLeaving(id);
      pool.onPeer(peer, toUses(uses, waiting), expiryMilliseconds);
    }
  }
}

function toUses(
  uses: ReadonlyArray<readonly [string, number]>,
  waiting: boolean,
): Map<string, PeerUse> {
  return new Map(uses.map(([key, inFlight]) => [key, {inFlight, waiting}]));
}

/** Uses in a summary so that it need not hold for longer than receivers believe. */
function mostUsesFor(peers: number): number {
  const pause = LONGEST_EXPIRY_MILLISECONDS / SUMMARIES_UNTIL_EXPIRY;
  const bytes = (BYTES_PER_SECOND * pause) / MILLISECONDS_PER_SECOND;
  const each = bytes / Math.max(1, peers) - BYTES_OF_HEAD;
  return Math.max(1, Math.floor(each / BYTES_OF_USE));
}

/** Milliseconds between summaries: longer where there is more to tell, or more peers. */
function pauseFor(uses: number, peers: number): number {
  const bytes = (BYTES_OF_HEAD + uses * BYTES_OF_USE) * peers;
  const needed = (bytes / BYTES_PER_SECOND) * MILLISECONDS_PER_SECOND;
  return Math.max(SHORTEST_MILLISECONDS, needed);
}

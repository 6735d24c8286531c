import {z} from 'zod';
import type {Clock, Timer} from '@gentiandoor/kernel';
import type {
  PeerAwareLimiter,
  PeerUsage,
  SharedTeamQuota,
} from '@gentiandoor/decisions';
import {PeerTopic, type PeerLinks} from '@gentiandoor/shared-state';
import type {PoolTable} from './pool-table.js';

/** Receivers drop what says that it holds for longer. */
const MAXIMUM_EXPIRY_MILLISECONDS = 60_000;
const countSchema = z.number().int().nonnegative();

/** One pool in a summary: whether requests wait, uses by VM, and VMs that said they are leaving. */
const poolSummarySchema = z.object({
  waiting: z.boolean(),
  uses: z.array(z.tuple([z.string(), countSchema])),
  leaving: z.array(z.string()),
});

/** What a daemon tells its peers of its load. */
const loadSummarySchema = z.object({
  pools: z.record(z.string(), poolSummarySchema),
  teams: z.array(z.tuple([z.string(), countSchema])),
  /** Milliseconds after which the summary says nothing any more. */
  expiryMilliseconds: z.number().positive().max(MAXIMUM_EXPIRY_MILLISECONDS),
});
type LoadSummary = z.output<typeof loadSummarySchema>;

interface TargetUsage {
  readonly pool: string;
  readonly id: string;
  readonly inFlight: number;
}

/** Five exchanges of 50 ms: shares follow a change of load within a few of them. */
const MINIMUM_INTERVAL_MILLISECONDS = 250;
/** Requests that begin to wait are told of at once, but no more often than this. */
const MINIMUM_EARLY_INTERVAL_MILLISECONDS = 100;
/** Bytes a second to all peers; the rest of a node's 7 KB/s is for the log and keyed requests. */
const BYTES_PER_SECOND = 4000;
const BYTES_PER_USAGE_ENTRY = 12;
const BYTES_PER_SUMMARY_HEAD = 60;
const INTERVALS_PER_EXPIRY = 4;
const MILLISECONDS_PER_SECOND = 1000;

/**
 * Tells peers what this daemon uses of targets and quotas, as often as its part of the network
 * allows, and only while it has work; takes in what they tell.
 */
export class LoadSummaryBroadcaster {
  private timer: Timer | undefined;
  private lastSentAt = -Infinity;

  constructor(
    private readonly clock: Clock,
    private readonly peerLinks: PeerLinks,
    private readonly pools: PoolTable,
    private readonly quota: SharedTeamQuota,
    private readonly quotaLimiter: PeerAwareLimiter,
    private readonly onTick: () => void,
  ) {
    peerLinks.setHandler(PeerTopic.TargetSummary, (from, message) => {
      this.receive(from.incarnation, message);
      return Promise.resolve(undefined);
    });
  }

  /** There is work: summaries go out until it ends. */
  start(): void {
    if (!this.timer) this.scheduleTick(MINIMUM_INTERVAL_MILLISECONDS);
  }

  /** Requests begin to wait: peers learn it before the next turn. */
  sendEarly(): void {
    const now = this.clock.monotonicMilliseconds();
    if (now - this.lastSentAt < MINIMUM_EARLY_INTERVAL_MILLISECONDS) return;
    this.timer?.cancel();
    this.scheduleTick(0);
  }

  private scheduleTick(milliseconds: number): void {
    this.timer = this.clock.schedule(milliseconds, () => this.tick());
  }

  private tick(): void {
    this.timer = undefined;
    this.lastSentAt = this.clock.monotonicMilliseconds();
    this.onTick();
    const peers = this.peerLinks.connected().length;
    const mostUses = maximumUsageEntries(peers);
    const pause = intervalMilliseconds(
      Math.min(this.countUsageEntries(), mostUses),
      peers,
    );
    if (peers > 0) {
      const message = this.createSummary(
        pause * INTERVALS_PER_EXPIRY,
        mostUses,
      );
      this.peerLinks.broadcast(PeerTopic.TargetSummary, message);
    }
    if (this.hasWork()) this.scheduleTick(pause);
  }

  private hasWork(): boolean {
    for (const [, pool] of this.pools.entries()) {
      if (pool.inFlight > 0 || pool.waiting > 0) return true;
    }
    return false;
  }

  private countUsageEntries(): number {
    let uses = 0;
    for (const [, pool] of this.pools.entries()) uses += pool.usage().size;
    return uses;
  }

  /**
   * Of more uses than may be told, the busiest targets are told. A summary of all of them would
   * have to hold for minutes to keep to its bytes, and receivers drop what is that old.
   */
  private createSummary(
    expiryMilliseconds: number,
    mostUses: number,
  ): LoadSummary {
    const pools: LoadSummary['pools'] = {};
    const told = this.busiestUsageByPool(mostUses);
    for (const [name, pool] of this.pools.entries()) {
      const uses = told.get(name) ?? [];
      const leaving = pool.leavingTargets();
      if (uses.length === 0 && leaving.length === 0) continue;
      pools[name] = {
        waiting: pool.waiting > 0,
        uses,
        leaving,
      };
    }
    return {pools, teams: [...this.quota.usage()], expiryMilliseconds};
  }

  /** Uses by pool, of the busiest targets where there are more than may be told. */
  private busiestUsageByPool(
    mostUses: number,
  ): Map<string, Array<[string, number]>> {
    const all: TargetUsage[] = [];
    for (const [pool, slots] of this.pools.entries())
      for (const [id, {inFlight}] of slots.usage())
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
  private receive(peer: string, message: unknown): void {
    const parsed = loadSummarySchema.safeParse(message);
    if (!parsed.success) return;
    const {pools, teams, expiryMilliseconds} = parsed.data;
    this.quotaLimiter.onPeerUsage(
      peer,
      toPeerUsage(teams, false),
      expiryMilliseconds,
    );
    for (const [name, {waiting, uses, leaving}] of Object.entries(pools)) {
      const pool = this.pools.get(name);
      if (!pool) continue;
      for (const id of leaving) pool.onTargetLeaving(id);
      pool.onPeerUsage(peer, toPeerUsage(uses, waiting), expiryMilliseconds);
    }
  }
}

function toPeerUsage(
  uses: ReadonlyArray<readonly [string, number]>,
  waiting: boolean,
): Map<string, PeerUsage> {
  return new Map(uses.map(([key, inFlight]) => [key, {inFlight, waiting}]));
}

/** Uses in a summary so that it need not hold for longer than receivers believe. */
function maximumUsageEntries(peers: number): number {
  const pause = MAXIMUM_EXPIRY_MILLISECONDS / INTERVALS_PER_EXPIRY;
  const bytes = (BYTES_PER_SECOND * pause) / MILLISECONDS_PER_SECOND;
  const each = bytes / Math.max(1, peers) - BYTES_PER_SUMMARY_HEAD;
  return Math.max(1, Math.floor(each / BYTES_PER_USAGE_ENTRY));
}

/** Milliseconds between summaries: longer where there is more to tell, or more peers. */
function intervalMilliseconds(uses: number, peers: number): number {
  const bytes = (BYTES_PER_SUMMARY_HEAD + uses * BYTES_PER_USAGE_ENTRY) * peers;
  const needed = (bytes / BYTES_PER_SECOND) * MILLISECONDS_PER_SECOND;
  return Math.max(MINIMUM_INTERVAL_MILLISECONDS, needed);
}

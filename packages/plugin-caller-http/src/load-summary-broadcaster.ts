import {z} from 'zod';
import type {Clock, Timer} from '@gentiandoor/kernel';
import type {
  PeerAwareLimiter,
  PeerUsage,
  SharedTeamQuota,
} from '@gentiandoor/decisions';
import {PeerTopic, type PeerLinks} from '@gentiandoor/shared-state';
import type {PoolTable} from './pool-table.js';

/** Receivers drop a summary whose expiry is longer than this. */
const MAXIMUM_EXPIRY_MILLISECONDS = 60_000;
const countSchema = z.number().int().nonnegative();

/**
 * Load of one pool: whether requests are waiting, in-flight exchanges by VM, and the VMs that have
 * announced that they are leaving.
 */
const poolSummarySchema = z.object({
  waiting: z.boolean(),
  uses: z.array(z.tuple([z.string(), countSchema])),
  leaving: z.array(z.string()),
});

/** Load that a daemon reports to its peers. */
const loadSummarySchema = z.object({
  pools: z.record(z.string(), poolSummarySchema),
  teams: z.array(z.tuple([z.string(), countSchema])),
  /** Milliseconds after which receivers no longer use the summary. */
  expiryMilliseconds: z.number().positive().max(MAXIMUM_EXPIRY_MILLISECONDS),
});
type LoadSummary = z.output<typeof loadSummarySchema>;

interface TargetUsage {
  readonly pool: string;
  readonly id: string;
  readonly inFlight: number;
}

/** Five exchanges of 50 ms: slot shares follow a change of load within a few exchanges. */
const MINIMUM_INTERVAL_MILLISECONDS = 250;
/** A summary is sent early when requests start to wait, but only this long after the last one. */
const MINIMUM_EARLY_INTERVAL_MILLISECONDS = 100;
/** Limit for all peers together; the rest of a node's 7 KB/s is for the log and keyed requests. */
const BYTES_PER_SECOND = 4000;
const BYTES_PER_USAGE_ENTRY = 12;
const BYTES_PER_SUMMARY_HEAD = 60;
const INTERVALS_PER_EXPIRY = 4;
const MILLISECONDS_PER_SECOND = 1000;

/**
 * Broadcasts this daemon's use of targets and quotas to its peers, and applies their summaries.
 * Summaries are sent as often as the bandwidth limit allows, and only while there is work.
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

  /** Starts sending summaries; they stop when there is no work left. */
  start(): void {
    if (!this.timer) this.scheduleTick(MINIMUM_INTERVAL_MILLISECONDS);
  }

  /** Sends a summary ahead of the regular interval, because requests have started to wait. */
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
    const maximumEntries = maximumUsageEntries(peers);
    const interval = intervalMilliseconds(
      Math.min(this.countUsageEntries(), maximumEntries),
      peers,
    );
    if (peers > 0) {
      const message = this.createSummary(
        interval * INTERVALS_PER_EXPIRY,
        maximumEntries,
      );
      this.peerLinks.broadcast(PeerTopic.TargetSummary, message);
    }
    if (this.hasWork()) this.scheduleTick(interval);
  }

  private hasWork(): boolean {
    for (const [, pool] of this.pools.entries()) {
      if (pool.inFlight > 0 || pool.waiting > 0) return true;
    }
    return false;
  }

  private countUsageEntries(): number {
    let entries = 0;
    for (const [, pool] of this.pools.entries()) entries += pool.usage().size;
    return entries;
  }

  /**
   * Includes only the busiest targets when there are more than fit. A summary of all targets would
   * need an expiry of minutes to stay within the bandwidth limit, and receivers drop those.
   */
  private createSummary(
    expiryMilliseconds: number,
    maximumEntries: number,
  ): LoadSummary {
    const pools: LoadSummary['pools'] = {};
    const usageByPool = this.busiestUsageByPool(maximumEntries);
    for (const [name, pool] of this.pools.entries()) {
      const uses = usageByPool.get(name) ?? [];
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

  /** Returns usage by pool, limited to the busiest targets where there are more than fit. */
  private busiestUsageByPool(
    maximumEntries: number,
  ): Map<string, Array<[string, number]>> {
    const targets: TargetUsage[] = [];
    for (const [pool, slotPool] of this.pools.entries())
      for (const [id, {inFlight}] of slotPool.usage())
        targets.push({pool, id, inFlight});
    if (targets.length > maximumEntries)
      targets.sort((left, right) => right.inFlight - left.inFlight);
    const usageByPool = new Map<string, Array<[string, number]>>();
    for (const {pool, id, inFlight} of targets.slice(0, maximumEntries)) {
      const uses = usageByPool.get(pool) ?? [];
      uses.push([id, inFlight]);
      usageByPool.set(pool, uses);
    }
    return usageByPool;
  }

  /** Drops a malformed summary: slot shares then follow the targets' responses alone. */
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

/** Returns how many usage entries fit without a longer expiry than receivers accept. */
function maximumUsageEntries(peers: number): number {
  const interval = MAXIMUM_EXPIRY_MILLISECONDS / INTERVALS_PER_EXPIRY;
  const bytes = (BYTES_PER_SECOND * interval) / MILLISECONDS_PER_SECOND;
  const bytesPerPeer = bytes / Math.max(1, peers) - BYTES_PER_SUMMARY_HEAD;
  return Math.max(1, Math.floor(bytesPerPeer / BYTES_PER_USAGE_ENTRY));
}

/** Returns the time between summaries: longer with more entries or more peers. */
function intervalMilliseconds(entries: number, peers: number): number {
  const bytes =
    (BYTES_PER_SUMMARY_HEAD + entries * BYTES_PER_USAGE_ENTRY) * peers;
  const needed = (bytes / BYTES_PER_SECOND) * MILLISECONDS_PER_SECOND;
  return Math.max(MINIMUM_INTERVAL_MILLISECONDS, needed);
}

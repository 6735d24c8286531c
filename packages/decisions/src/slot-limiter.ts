import type {Clock} from '@gentiandoor/kernel';
import {fairShare, type NamedDemand} from './fair-share.js';

/** A peer's reported usage of one resource that all daemons share, such as a target's slots. */
export interface PeerUsage {
  readonly inFlight: number;
  /** Whether it has waiting requests that could use more. */
  readonly waiting: boolean;
}

/** Everything a peer reports that it uses, by key; keys that it does not use are omitted. */
export type PeerUsageByKey = ReadonlyMap<string, PeerUsage>;

/** Limits how much of each target this daemon may use at one time. */
export interface SlotLimiter {
  /**
   * Returns how many exchanges this daemon may have in flight at `key`, which allows `slots` in
   * total.
   */
  limit(key: string, slots: number): number;
  /**
   * Returns the part of the limit that is this daemon's own; the rest is borrowed from peers that
   * leave it idle.
   */
  ownLimit(key: string, slots: number): number;
  /**
   * Handles a response that the target is at its limit, with `inFlight` of this daemon's exchanges
   * there.
   */
  onBusy(key: string, inFlight: number, slots: number): void;
  /** Handles a successful exchange while `inFlight` exchanges were there. */
  onSuccess(key: string, inFlight: number, slots: number): void;
  /** Stores a peer's summary, which replaces its previous one and expires after the given time. */
  onPeerUsage(
    peer: string,
    usageByKey: PeerUsageByKey,
    expiryMilliseconds: number,
  ): void;
}

/** Applies no limit: the baseline; targets refuse what exceeds theirs. */
export class NoSlotLimiter implements SlotLimiter {
  limit(): number {
    return Infinity;
  }

  ownLimit(): number {
    return Infinity;
  }

  onBusy(): void {}

  onSuccess(): void {}

  onPeerUsage(): void {}
}

/** Lets each daemon use every slot of a target; targets respond busy under load. */
export class FullTargetLimiter implements SlotLimiter {
  limit(_key: string, slots: number): number {
    return slots;
  }

  ownLimit(_key: string, slots: number): number {
    return slots;
  }

  onBusy(): void {}

  onSuccess(): void {}

  onPeerUsage(): void {}
}

/**
 * Splits slots evenly and permanently: no busy responses, but a daemon that gets all the load uses
 * only its own part.
 */
export class StaticSplitLimiter implements SlotLimiter {
  constructor(private readonly daemons: number) {}

  limit(_key: string, slots: number): number {
    return Math.max(1, Math.floor(slots / this.daemons));
  }

  ownLimit(key: string, slots: number): number {
    return this.limit(key, slots);
  }

  onBusy(): void {}

  onSuccess(): void {}

  onPeerUsage(): void {}
}

interface LearnedLimit {
  value: number;
  lastDecreaseAt: number;
}

const DECREASE_FACTOR = 0.7;
/** Responses already in flight at the time of the decrease are no new evidence. */
const DECREASE_PAUSE_MILLISECONDS = 50;

/**
 * Learns its part from busy responses alone: multiplicative decrease, and an increase of one slot
 * per round.
 * Load: daemons that share targets and cannot communicate with each other. On its own it keeps
 * probing, so targets still respond busy now and then.
 */
export class AdditiveIncreaseLimiter implements SlotLimiter {
  private readonly learnedLimits = new Map<string, LearnedLimit>();

  constructor(private readonly clock: Clock) {}

  limit(key: string, slots: number): number {
    const learned = this.learnedLimits.get(key);
    if (!learned) return slots;
    return Math.max(1, Math.floor(learned.value));
  }

  ownLimit(key: string, slots: number): number {
    return this.limit(key, slots);
  }

  onBusy(key: string, inFlight: number, slots: number): void {
    const now = this.clock.monotonicMilliseconds();
    const learned = this.learnedLimits.get(key);
    if (learned && now - learned.lastDecreaseAt < DECREASE_PAUSE_MILLISECONDS)
      return;
    const value = Math.min(learned?.value ?? slots, inFlight);
    this.learnedLimits.set(key, {
      value: Math.max(1, value * DECREASE_FACTOR),
      lastDecreaseAt: now,
    });
  }

  onSuccess(key: string, inFlight: number, slots: number): void {
    const learned = this.learnedLimits.get(key);
    if (!learned || inFlight < Math.floor(learned.value)) return;
    learned.value += 1 / learned.value;
    if (learned.value >= slots) this.learnedLimits.delete(key);
  }

  onPeerUsage(): void {}
}

interface PeerReport {
  readonly usageByKey: PeerUsageByKey;
  readonly expiresAt: number;
}

interface CachedLimit {
  readonly version: number;
  readonly slots: number;
  readonly limit: number;
  readonly ownLimit: number;
}

/**
 * Slots left free for a peer that uses a key, so that its next request does not meet a full target.
 */
const PEER_HEADROOM = 1;

/**
 * Divides each target's slots according to the usage that peers last reported.
 * Load: 6 or 7 daemons in front of targets with 8 slots. Without a limit the targets respond busy
 * to much of a saturating load, each response a wasted round trip; with an even split a daemon that
 * gets all the load leaves most slots idle. Peers with waiting requests share evenly; a peer that
 * only uses some slots keeps those and one more. The slots of an even split among the peers that
 * have any work are this daemon's own and are used before borrowed ones: two daemons compete for a
 * target only where one of them exceeds its own part. Busy responses still reduce the limit, for
 * peers that are unreachable and for usage newer than the last summary.
 */
export class PeerAwareLimiter implements SlotLimiter {
  private readonly learnedLimiter: AdditiveIncreaseLimiter;
  private readonly peers = new Map<string, PeerReport>();
  private readonly cache = new Map<string, CachedLimit>();
  private version = 0;
  private nextExpiry = Infinity;

  constructor(
    private readonly clock: Clock,
    private readonly self: string,
    private readonly minimum = 1,
  ) {
    this.learnedLimiter = new AdditiveIncreaseLimiter(clock);
  }

  limit(key: string, slots: number): number {
    const {limit} = this.limitsOf(key, slots);
    return Math.min(limit, this.learnedLimiter.limit(key, slots));
  }

  ownLimit(key: string, slots: number): number {
    const {ownLimit} = this.limitsOf(key, slots);
    return Math.min(ownLimit, this.learnedLimiter.limit(key, slots));
  }

  onBusy(key: string, inFlight: number, slots: number): void {
    this.learnedLimiter.onBusy(key, inFlight, slots);
  }

  onSuccess(key: string, inFlight: number, slots: number): void {
    this.learnedLimiter.onSuccess(key, inFlight, slots);
  }

  onPeerUsage(
    peer: string,
    usageByKey: PeerUsageByKey,
    expiryMilliseconds: number,
  ): void {
    const expiresAt = this.clock.monotonicMilliseconds() + expiryMilliseconds;
    this.peers.set(peer, {usageByKey, expiresAt});
    this.nextExpiry = Math.min(this.nextExpiry, expiresAt);
    this.version++;
  }

  private limitsOf(key: string, slots: number): CachedLimit {
    this.expirePeers();
    const cached = this.cache.get(key);
    if (cached?.version === this.version && cached.slots === slots)
      return cached;
    const computed = this.compute(key, slots);
    this.cache.set(key, computed);
    return computed;
  }

  private compute(key: string, slots: number): CachedLimit {
    const users: NamedDemand[] = [];
    for (const [name, {usageByKey}] of this.peers) {
      const use = usageByKey.get(key);
      if (use) users.push({name, demand: demandOf(use)});
    }
    const equalDemands = users.map(({name}) => ({name, demand: Infinity}));
    const limit = fairShare(key, slots, this.self, users);
    const ownLimit = fairShare(key, slots, this.self, equalDemands);
    return {
      version: this.version,
      slots,
      limit: Math.max(this.minimum, limit),
      ownLimit: Math.max(this.minimum, ownLimit),
    };
  }

  private expirePeers(): void {
    const now = this.clock.monotonicMilliseconds();
    if (now < this.nextExpiry) return;
    this.nextExpiry = Infinity;
    for (const [name, {expiresAt}] of this.peers) {
      if (expiresAt <= now) this.peers.delete(name);
      else this.nextExpiry = Math.min(this.nextExpiry, expiresAt);
    }
    this.version++;
  }
}

function demandOf(use: PeerUsage): number {
  return use.waiting ? Infinity : use.inFlight + PEER_HEADROOM;
}

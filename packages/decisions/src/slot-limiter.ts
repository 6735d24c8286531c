import type {Clock} from '@gentiandoor/kernel';
import {fairShare, type NamedDemand} from './fair-share.js';

/** What a peer says of one thing that all daemons share, such as a target's slots. */
export interface PeerUsage {
  readonly inFlight: number;
  /** Whether it has requests waiting that could use more. */
  readonly waiting: boolean;
}

/** What a peer says of all that it uses, by key; keys that it does not use are left out. */
export type PeerUsageByKey = ReadonlyMap<string, PeerUsage>;

/** How much of each target this daemon may use at one time. */
export interface SlotLimiter {
  /** Exchanges that this daemon may have in flight at `key`, which allows `slots` in all. */
  limit(key: string, slots: number): number;
  /** The part of the limit that is this daemon's own; the rest is borrowed from peers that leave it idle. */
  ownLimit(key: string, slots: number): number;
  /** The target answered that it is at its limit, with `inFlight` of this daemon's there. */
  onBusy(key: string, inFlight: number, slots: number): void;
  /** An exchange ended well while `inFlight` were there. */
  onSuccess(key: string, inFlight: number, slots: number): void;
  /** Takes in a peer's summary, which replaces its earlier one and is good for a time. */
  onPeerUsage(
    peer: string,
    uses: PeerUsageByKey,
    expiryMilliseconds: number,
  ): void;
}

/** Sends whatever comes: the baseline without a limit; what is too much, the targets refuse. */
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

/** Each daemon may use every slot of a target; targets answer busy under load. */
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

/** An even split for good: no busy answers, but a daemon with all the load uses one part only. */
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
/** Answers on their way when the cut was made tell nothing new. */
const DECREASE_PAUSE_MILLISECONDS = 50;

/**
 * Learns its part from busy answers alone: cut by a share, raised by one slot a round.
 * Answers daemons that share targets and cannot hear each other. On its own it keeps probing, so
 * that targets go on answering busy now and then.
 */
export class AdditiveIncreaseLimiter implements SlotLimiter {
  private readonly learnedLimits = new Map<string, LearnedLimit>();

  constructor(private readonly clock: Clock) {}

  limit(key: string, slots: number): number {
    const entry = this.learnedLimits.get(key);
    if (!entry) return slots;
    return Math.max(1, Math.floor(entry.value));
  }

  ownLimit(key: string, slots: number): number {
    return this.limit(key, slots);
  }

  onBusy(key: string, inFlight: number, slots: number): void {
    const now = this.clock.monotonicMilliseconds();
    const entry = this.learnedLimits.get(key);
    if (entry && now - entry.lastDecreaseAt < DECREASE_PAUSE_MILLISECONDS)
      return;
    const value = Math.min(entry?.value ?? slots, inFlight);
    this.learnedLimits.set(key, {
      value: Math.max(1, value * DECREASE_FACTOR),
      lastDecreaseAt: now,
    });
  }

  onSuccess(key: string, inFlight: number, slots: number): void {
    const entry = this.learnedLimits.get(key);
    if (!entry || inFlight < Math.floor(entry.value)) return;
    entry.value += 1 / entry.value;
    if (entry.value >= slots) this.learnedLimits.delete(key);
  }

  onPeerUsage(): void {}
}

interface PeerReport {
  readonly uses: PeerUsageByKey;
  readonly expiresAt: number;
}

interface CachedLimit {
  readonly version: number;
  readonly slots: number;
  readonly limit: number;
  readonly ownLimit: number;
}

/** Room left for a peer that uses a key, so that its next request does not meet a full target. */
const PEER_HEADROOM = 1;

/**
 * Shares out each target's slots by what the peers last said they use.
 * Answers 6 or 7 daemons in front of targets with 8 slots: with no limit the targets answer busy
 * to much of a saturating load, each answer a wasted round trip; with an even split one daemon
 * with all the load leaves most slots idle. Peers with waiting requests share evenly; a peer that
 * only uses some keeps those and one more. Slots of an even split among the peers that have any
 * work are this daemon's own and are used before borrowed ones: two daemons meet at a target only
 * where one of them is past its part. Busy answers still cut the share, for peers that cannot be
 * heard and for what a summary is too old to show.
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
    const {ownLimit: own} = this.limitsOf(key, slots);
    return Math.min(own, this.learnedLimiter.limit(key, slots));
  }

  onBusy(key: string, inFlight: number, slots: number): void {
    this.learnedLimiter.onBusy(key, inFlight, slots);
  }

  onSuccess(key: string, inFlight: number, slots: number): void {
    this.learnedLimiter.onSuccess(key, inFlight, slots);
  }

  onPeerUsage(
    peer: string,
    uses: PeerUsageByKey,
    expiryMilliseconds: number,
  ): void {
    const expiresAt = this.clock.monotonicMilliseconds() + expiryMilliseconds;
    this.peers.set(peer, {uses, expiresAt});
    this.nextExpiry = Math.min(this.nextExpiry, expiresAt);
    this.version++;
  }

  private limitsOf(key: string, slots: number): CachedLimit {
    this.expirePeers();
    const cached = this.cache.get(key);
    if (cached?.version === this.version && cached.slots === slots)
      return cached;
    const fresh = this.compute(key, slots);
    this.cache.set(key, fresh);
    return fresh;
  }

  private compute(key: string, slots: number): CachedLimit {
    const users: NamedDemand[] = [];
    for (const [name, {uses}] of this.peers) {
      const use = uses.get(key);
      if (use) users.push({name, demand: demandOf(use)});
    }
    const equals = users.map(({name}) => ({name, demand: Infinity}));
    const limit = fairShare(key, slots, this.self, users);
    const own = fairShare(key, slots, this.self, equals);
    return {
      version: this.version,
      slots,
      limit: Math.max(this.minimum, limit),
      ownLimit: Math.max(this.minimum, own),
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

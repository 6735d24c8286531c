import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {VirtualClock} from '@gentiandoor/kernel';
import {
  PeerAwareLimiter,
  SharedTeamQuota,
  type PeerUsage,
} from '@gentiandoor/decisions';
import {
  NoPeerLinks,
  type Peer,
  type PeerTopic,
} from '@gentiandoor/shared-state';
import {LoadSummaryBroadcaster} from '../load-summary-broadcaster.js';
import type {PoolTable} from '../pool-table.js';

const PEERS = 32;
const TARGETS = 2000;
const MAXIMUM_EXPIRY_MILLISECONDS = 60_000;
const BYTES_PER_SECOND = 4000;

interface Summary {
  readonly pools: Readonly<
    Record<string, {readonly uses: ReadonlyArray<[string, number]>}>
  >;
  readonly expiryMilliseconds: number;
}

class ManyPeers extends NoPeerLinks {
  readonly sent: Summary[] = [];

  override connected(): readonly Peer[] {
    return Array.from({length: PEERS}, (_, index) => ({
      name: `entry-${index}`,
      incarnation: String(index),
      dataCentre: 'hall-a',
    }));
  }

  override broadcast(_topic?: PeerTopic, message?: unknown): void {
    this.sent.push(message as Summary);
  }
}

function poolsOf(usage: ReadonlyMap<string, PeerUsage>): PoolTable {
  const pool = {
    inFlight: usage.size,
    waiting: 0,
    usage: () => usage,
    leavingTargets: () => [],
  };
  return {
    entries: () => new Map([['previews', pool]]).entries(),
  } as unknown as PoolTable;
}

describe('LoadSummaryBroadcaster', () => {
  describe('with far more targets in use than fit into a summary', () => {
    // Peers drop a summary whose expiry is over a minute. They would then follow the targets'
    // responses alone and miss which targets are leaving. So it lists only the busiest targets.
    it('lists the busiest within the bandwidth limit, with an expiry that peers accept', () => {
      const clock = new VirtualClock();
      const peers = new ManyPeers();
      const quotaLimiter = new PeerAwareLimiter(clock, 'self', 0);
      const uses = new Map(
        Array.from({length: TARGETS}, (_, index) => [
          `vm-${index}`,
          {inFlight: index === 7 ? 5 : 1, waiting: false},
        ]),
      );
      const quota = new SharedTeamQuota(quotaLimiter);
      const tick = () => undefined;
      new LoadSummaryBroadcaster(
        clock,
        peers,
        poolsOf(uses),
        quota,
        quotaLimiter,
        tick,
      ).start();
      clock.advance(MAXIMUM_EXPIRY_MILLISECONDS);
      assert.ok(peers.sent.length > 0);
      for (const {pools, expiryMilliseconds} of peers.sent) {
        assert.ok(expiryMilliseconds <= MAXIMUM_EXPIRY_MILLISECONDS);
        assert.deepEqual(pools.previews.uses[0], ['vm-7', 5]);
        assert.ok(pools.previews.uses.length > 100);
      }
      const bytes = peers.sent
        .map(({pools}) => (60 + 12 * pools.previews.uses.length) * PEERS)
        .reduce((sum, each) => sum + each, 0);
      const seconds = MAXIMUM_EXPIRY_MILLISECONDS / 1000;
      assert.ok(bytes <= BYTES_PER_SECOND * (seconds + 15));
    });
  });
});

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {VirtualClock} from '@gentiandoor/kernel';
import {AdditiveIncreaseLimiter, PeerAwareLimiter} from '../slot-limiter.js';

const SLOTS = 8;
const EXPIRY = 1000;

function usage(inFlight: number, waiting = false) {
  return new Map([['vm', {inFlight, waiting}]]);
}

describe('PeerAwareLimiter', () => {
  describe('with no peer that uses the target', () => {
    it('allows every slot', () => {
      const limiter = new PeerAwareLimiter(new VirtualClock(), 'a');
      assert.equal(limiter.limit('vm', SLOTS), SLOTS);
      assert.equal(limiter.ownLimit('vm', SLOTS), SLOTS);
    });
  });

  describe('with a peer that has a few exchanges in flight', () => {
    it('leaves the peer those and one more, and borrows the rest', () => {
      const limiter = new PeerAwareLimiter(new VirtualClock(), 'a');
      limiter.onPeerUsage('b', usage(1), EXPIRY);
      assert.equal(limiter.limit('vm', SLOTS), SLOTS - 2);
      assert.equal(limiter.ownLimit('vm', SLOTS), SLOTS / 2);
    });
  });

  describe('with a peer that has waiting requests', () => {
    it('returns to an even split', () => {
      const limiter = new PeerAwareLimiter(new VirtualClock(), 'a');
      limiter.onPeerUsage('b', usage(1, true), EXPIRY);
      assert.equal(limiter.limit('vm', SLOTS), SLOTS / 2);
    });
  });

  describe('with a peer that no longer reports', () => {
    it('reclaims its part when the last summary expires', () => {
      const clock = new VirtualClock();
      const limiter = new PeerAwareLimiter(clock, 'a');
      limiter.onPeerUsage('b', usage(8, true), EXPIRY);
      clock.advance(EXPIRY - 1);
      assert.equal(limiter.limit('vm', SLOTS), SLOTS / 2);
      clock.advance(1);
      assert.equal(limiter.limit('vm', SLOTS), SLOTS);
    });
  });

  describe('with unreachable peers', () => {
    it('learns from busy responses and increases again with successes', () => {
      const clock = new VirtualClock();
      const limiter = new PeerAwareLimiter(clock, 'a');
      limiter.onBusy('vm', 4, SLOTS);
      assert.equal(limiter.limit('vm', SLOTS), 2);
      for (let round = 0; round < 60; round++) {
        limiter.onSuccess('vm', limiter.limit('vm', SLOTS), SLOTS);
      }
      assert.equal(limiter.limit('vm', SLOTS), SLOTS);
    });
  });

  describe('with a quota smaller than the number of daemons', () => {
    it('may assign a daemon nothing, and never more than the quota in total', () => {
      const names = ['a', 'b', 'c', 'd'];
      const sum = names
        .map(self => {
          const limiter = new PeerAwareLimiter(new VirtualClock(), self, 0);
          for (const peer of names) {
            if (peer !== self)
              limiter.onPeerUsage(peer, usage(1, true), EXPIRY);
          }
          return limiter.limit('vm', 3);
        })
        .reduce((left, right) => left + right, 0);
      assert.equal(sum, 3);
    });
  });
});

describe('AdditiveIncreaseLimiter', () => {
  describe('with several busy responses to requests sent together', () => {
    it('decreases the limit once', () => {
      const clock = new VirtualClock();
      const limiter = new AdditiveIncreaseLimiter(clock);
      limiter.onBusy('vm', 8, SLOTS);
      limiter.onBusy('vm', 8, SLOTS);
      assert.equal(limiter.limit('vm', SLOTS), 5);
      clock.advance(100);
      limiter.onBusy('vm', 5, SLOTS);
      assert.equal(limiter.limit('vm', SLOTS), 3);
    });
  });
});

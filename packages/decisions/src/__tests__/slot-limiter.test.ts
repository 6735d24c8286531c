import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {VirtualClock} from '@gentiandoor/kernel';
import {AdditiveIncreaseLimiter, PeerAwareLimiter} from '../slot-limiter.js';

const SLOTS = 8;
const EXPIRY = 1000;

function use(inFlight: number, waiting = false) {
  return new Map([['vm', {inFlight, waiting}]]);
}

describe('PeerShare', () => {
  describe('with no peer that uses the target', () => {
    it('uses every slot', () => {
      const share = new PeerAwareLimiter(new VirtualClock(), 'a');
      assert.equal(share.limit('vm', SLOTS), SLOTS);
      assert.equal(share.ownLimit('vm', SLOTS), SLOTS);
    });
  });

  describe('with a peer that has a few in flight', () => {
    it('leaves it those and one more, and borrows the rest', () => {
      const share = new PeerAwareLimiter(new VirtualClock(), 'a');
      share.onPeerUsage('b', use(1), EXPIRY);
      assert.equal(share.limit('vm', SLOTS), SLOTS - 2);
      assert.equal(share.ownLimit('vm', SLOTS), SLOTS / 2);
    });
  });

  describe('with a peer whose requests wait', () => {
    it('goes back to an even split', () => {
      const share = new PeerAwareLimiter(new VirtualClock(), 'a');
      share.onPeerUsage('b', use(1, true), EXPIRY);
      assert.equal(share.limit('vm', SLOTS), SLOTS / 2);
    });
  });

  describe('with a peer that is no longer heard', () => {
    it('takes its part back when the last summary expires', () => {
      const clock = new VirtualClock();
      const share = new PeerAwareLimiter(clock, 'a');
      share.onPeerUsage('b', use(8, true), EXPIRY);
      clock.advance(EXPIRY - 1);
      assert.equal(share.limit('vm', SLOTS), SLOTS / 2);
      clock.advance(1);
      assert.equal(share.limit('vm', SLOTS), SLOTS);
    });
  });

  describe('with peers that it cannot hear', () => {
    it('learns from busy answers and grows back by successes', () => {
      const clock = new VirtualClock();
      const share = new PeerAwareLimiter(clock, 'a');
      share.onBusy('vm', 4, SLOTS);
      assert.equal(share.limit('vm', SLOTS), 2);
      for (let round = 0; round < 60; round++) {
        share.onSuccess('vm', share.limit('vm', SLOTS), SLOTS);
      }
      assert.equal(share.limit('vm', SLOTS), SLOTS);
    });
  });

  describe('with a quota smaller than the number of daemons', () => {
    it('may give a daemon nothing, never more than the quota in all', () => {
      const names = ['a', 'b', 'c', 'd'];
      const sum = names
        .map(self => {
          const share = new PeerAwareLimiter(new VirtualClock(), self, 0);
          for (const peer of names) {
            if (peer !== self) share.onPeerUsage(peer, use(1, true), EXPIRY);
          }
          return share.limit('vm', 3);
        })
        .reduce((left, right) => left + right, 0);
      assert.equal(sum, 3);
    });
  });
});

describe('AdditiveIncreaseShare', () => {
  describe('with several busy answers to requests sent together', () => {
    it('cuts once', () => {
      const clock = new VirtualClock();
      const share = new AdditiveIncreaseLimiter(clock);
      share.onBusy('vm', 8, SLOTS);
      share.onBusy('vm', 8, SLOTS);
      assert.equal(share.limit('vm', SLOTS), 5);
      clock.advance(100);
      share.onBusy('vm', 5, SLOTS);
      assert.equal(share.limit('vm', SLOTS), 3);
    });
  });
});

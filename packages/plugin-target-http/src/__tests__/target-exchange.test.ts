import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {ExchangeEnd} from '@gentiandoor/kernel';
import {TargetExchange} from '../target-exchange.js';
import {CollectingSink, POST} from './transport-fixture.js';

class FakeController {
  aborted = false;
  reason: Error | null = null;
  paused = false;
  rawHeaders = null;
  rawTrailers = null;

  abort(reason: Error): void {
    this.aborted = true;
    this.reason = reason;
  }

  pause(): void {
    this.paused = true;
  }

  resume(): void {
    this.paused = false;
  }
}

describe('TargetExchange', () => {
  describe('when the library starts to write the request a second time', () => {
    // The library announces the request's first byte, loses the connection, and announces it
    // again on another one. Letting it continue would run a non-idempotent request twice.
    it('aborts it before the first byte and ends as connection lost', async () => {
      const exchange = new TargetExchange(POST, new CollectingSink(), {
        destroy() {},
      });
      const first = new FakeController();
      exchange.onRequestStart(first);
      assert.equal(first.aborted, false);
      const second = new FakeController();
      exchange.onRequestStart(second);
      assert.equal(second.aborted, true);
      exchange.onResponseError(second, new Error('aborted'));
      assert.equal((await exchange.done).end, ExchangeEnd.ConnectionLost);
    });
  });

  describe('when it is aborted before the connection is open', () => {
    it('closes the connection and ends as not sent', async () => {
      let destroyed = false;
      const exchange = new TargetExchange(POST, new CollectingSink(), {
        destroy: () => {
          destroyed = true;
        },
      });
      exchange.abort();
      assert.equal(destroyed, true);
      const late = new FakeController();
      exchange.onRequestStart(late);
      assert.equal(late.aborted, true);
      exchange.onResponseError(late, new Error('closed'));
      assert.equal((await exchange.done).end, ExchangeEnd.NotSent);
    });
  });
});

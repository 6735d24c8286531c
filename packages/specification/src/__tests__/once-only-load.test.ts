import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {MetricName} from '@gentiandoor/kernel';
import {ClaimsFleet} from './claims-fleet.js';

describe('claims under load and limits', () => {
  it('batch a burst of requests into a few appends', async () => {
    const fleet = new ClaimsFleet();
    const daemon = await fleet.start('entry-1');
    const before = fleet.log.appends;
    const requests = Array.from({length: 1000}, (_, index) =>
      fleet.ask(daemon, `order-${index}`),
    );
    const outcomes = await fleet.settle(Promise.all(requests));
    assert.ok(outcomes.every(({decision}) => decision === 'run'));
    assert.ok(fleet.log.appends - before <= 5, `${fleet.log.appends - before}`);
    await fleet.stopAll();
  });

  // Guards against unbounded waiting when hundreds of callers request one key at once. Requests
  // above the limit on waiting are answered at once; only the first request runs.
  it('limit the number of requests that wait for one key', async () => {
    const fleet = new ClaimsFleet({onceOnly: {waiting_limit: '50'}});
    const daemon = await fleet.start('entry-1');
    const first = await fleet.settle(fleet.ask(daemon, 'order-1'));
    const requests = Array.from({length: 300}, () =>
      fleet.ask(daemon, 'order-1'),
    );
    await fleet.advance(10);
    const count = () =>
      daemon.metrics.value(MetricName.KeyedRequests, {
        decision: 'key_in_progress',
      });
    assert.equal(count(), 250);
    first.claim!.finish(undefined);
    const outcomes = await fleet.settle(Promise.all(requests));
    const alreadyRun = outcomes.filter(
      ({decision}) => decision === 'key_already_run',
    );
    assert.equal(alreadyRun.length, 50);
    await fleet.stopAll();
  });

  // Guards against a daemon that does not recover when the log drops records it has not read while
  // it was unreachable. It abandons its requests in flight, reads on from the oldest retained
  // record, serves again and keeps the claims it knew.
  it('recover after a gap in the stream', async () => {
    const fleet = new ClaimsFleet({
      log: {appendsPerSecond: 500, retainedRecords: 4},
      onceOnly: {outcome_lag_milliseconds: '0'},
    });
    const one = await fleet.start('entry-1');
    const two = await fleet.start('entry-2');
    const known = await fleet.settle(fleet.ask(one, 'order-1'));
    known.claim!.lose();
    await fleet.advance(100);
    two.log.isUnreachable = true;
    for (let index = 0; index < 12; index++) {
      const outcome = await fleet.settle(fleet.ask(one, `other-${index}`));
      outcome.claim!.lose();
      await fleet.advance(100);
    }
    const pending = fleet.ask(two, 'order-2');
    two.log.isUnreachable = false;
    await fleet.advance(10_000);
    const late = await fleet.settle(pending);
    assert.ok(
      ['run', 'claim_unavailable'].includes(late.decision),
      late.decision,
    );
    const again = await fleet.settle(fleet.ask(two, 'order-1'));
    assert.equal(again.decision, 'key_outcome_unknown');
    assert.equal(
      (await fleet.settle(fleet.ask(two, 'order-3'))).decision,
      'run',
    );
    await fleet.stopAll();
  });

  // Guards against a second run by a daemon that just started and has not read the stream yet:
  // the stream may hold another daemon's claim.
  it('are not granted before the stream is read to its end', async () => {
    const fleet = new ClaimsFleet();
    const one = await fleet.start('entry-1');
    await fleet.settle(fleet.ask(one, 'order-1'));
    await fleet.crash(one);
    const starting = fleet.start('entry-1');
    const fresh = fleet.daemons.get('entry-1')!;
    const outcome = await fleet.settle(fleet.ask(fresh, 'order-1'));
    await starting;
    assert.notEqual(outcome.decision, 'run');
    assert.equal(outcome.runStatement, 'unknown');
    await fleet.stopAll();
  });

  it('refuse a key that belongs to another request, at any daemon', async () => {
    const fleet = new ClaimsFleet();
    const one = await fleet.start('entry-1');
    const two = await fleet.start('entry-2');
    await fleet.settle(fleet.ask(one, 'order-1', 'POST /a'));
    const outcome = await fleet.settle(fleet.ask(two, 'order-1', 'POST /b'));
    assert.equal(outcome.decision, 'key_reused');
    await fleet.stopAll();
  });
});

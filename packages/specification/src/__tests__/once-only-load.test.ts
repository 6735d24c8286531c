import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {MetricName} from '@gentiandoor/kernel';
import {ClaimsFleet} from './claims-fleet.js';

describe('claims under load and limits', () => {
  it('gather a burst into a few appends', async () => {
    const fleet = new ClaimsFleet();
    const daemon = await fleet.start('entry-1');
    const before = fleet.log.appends;
    const asked = Array.from({length: 1000}, (_, index) =>
      fleet.ask(daemon, `order-${index}`),
    );
    const told = await fleet.settle(Promise.all(asked));
    assert.ok(told.every(({decision: said}) => said === 'run'));
    assert.ok(fleet.log.appends - before <= 5, `${fleet.log.appends - before}`);
    await fleet.stopAll();
  });

  // One key is asked for by hundreds of callers at once. Those over the bound on waiting
  // are answered at once instead of piling up; nobody but the first runs it.
  it('bound how many wait for one hot key', async () => {
    const fleet = new ClaimsFleet({onceOnly: {waiting_limit: '50'}});
    const daemon = await fleet.start('entry-1');
    const first = await fleet.settle(fleet.ask(daemon, 'order-1'));
    const asked = Array.from({length: 300}, () => fleet.ask(daemon, 'order-1'));
    await fleet.advance(10);
    const count = () =>
      daemon.metrics.value(MetricName.KeyedRequests, {
        decision: 'key_in_progress',
      });
    assert.equal(count(), 250);
    first.claim!.finish(undefined);
    const told = await fleet.settle(Promise.all(asked));
    const already = told.filter(
      ({decision: said}) => said === 'key_already_run',
    );
    assert.equal(already.length, 50);
    await fleet.stopAll();
  });

  // The log lets records go that a cut-off daemon has not read. What it had on its way is
  // given up; it reads on from what is kept and serves again, and what it knew stays known.
  it('go on after a gap in the stream', async () => {
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
      const told = await fleet.settle(fleet.ask(one, `other-${index}`));
      told.claim!.lose();
      await fleet.advance(100);
    }
    const onItsWay = fleet.ask(two, 'order-2');
    two.log.isUnreachable = false;
    await fleet.advance(10_000);
    const late = await fleet.settle(onItsWay);
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

  // A fresh daemon has not read the stream yet: another daemon's claim may stand there.
  it('are not made before the stream is read to its end', async () => {
    const fleet = new ClaimsFleet();
    const one = await fleet.start('entry-1');
    await fleet.settle(fleet.ask(one, 'order-1'));
    await fleet.crash(one);
    const starting = fleet.start('entry-1');
    const fresh = fleet.daemons.get('entry-1')!;
    const told = await fleet.settle(fleet.ask(fresh, 'order-1'));
    await starting;
    assert.notEqual(told.decision, 'run');
    assert.equal(told.runStatement, 'unknown');
    await fleet.stopAll();
  });

  it('refuse a key that belongs to another request, wherever it ran', async () => {
    const fleet = new ClaimsFleet();
    const one = await fleet.start('entry-1');
    const two = await fleet.start('entry-2');
    await fleet.settle(fleet.ask(one, 'order-1', 'POST /a'));
    const told = await fleet.settle(fleet.ask(two, 'order-1', 'POST /b'));
    assert.equal(told.decision, 'key_reused');
    await fleet.stopAll();
  });
});

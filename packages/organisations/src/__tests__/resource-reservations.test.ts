import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fastCheck from 'fast-check';
import {ResourceReservations, isWithin, type Resources} from '../index.js';

function room(cores: number, gigabytes = 0): Resources {
  return {
    processorMillicores: cores * 1_000,
    memoryMegabytes: gigabytes * 1_000,
    accelerators: 0,
  };
}

describe('RoomLedger', () => {
  it('counts a run once, until it is over', () => {
    const ledger = new ResourceReservations();
    ledger.reserve('a/1', 'advisers', room(2));
    ledger.reserve('a/1', 'advisers', room(2));
    ledger.reserve('b/1', 'auditors', room(4));
    assert.equal(ledger.usedBy('advisers').processorMillicores, 2_000);
    assert.equal(ledger.release('a/1'), 'advisers');
    assert.equal(ledger.release('a/1'), undefined);
    assert.equal(ledger.usedBy('advisers').processorMillicores, 0);
    assert.equal(ledger.usedBy('auditors').processorMillicores, 4_000);
  });

  it('lets start what is within the limit, by every amount, all or none', () => {
    const ledger = new ResourceReservations();
    ledger.reserve('a/1', 'advisers', room(2, 1));
    const limit = room(4, 2);
    assert.ok(ledger.canReserve('advisers', limit, [room(2, 1)]));
    assert.ok(!ledger.canReserve('advisers', limit, [room(2, 1), room(1)]));
    assert.ok(!ledger.canReserve('advisers', limit, [room(1, 2)]));
    assert.ok(ledger.canReserve('auditors', limit, [room(2, 1), room(1, 1)]));
  });

  it('knows no limit where it is 0', () => {
    const ledger = new ResourceReservations();
    ledger.reserve('a/1', 'advisers', room(1_000));
    assert.ok(ledger.canReserve('advisers', room(0), [room(1_000)]));
  });

  // A limit lowered below the size of one task would hold up what was taken in before for good: its caller
  // sees the job run and never end. One task at a time goes on; a whole gang of them does not.
  it('lets a single task go that is over a lowered limit, when nothing else runs', () => {
    const ledger = new ResourceReservations();
    const limit = room(1);
    assert.ok(ledger.canReserve('advisers', limit, [room(3)]));
    assert.ok(!ledger.canReserve('advisers', limit, [room(3), room(3)]));
    ledger.reserve('a/1', 'advisers', room(3));
    assert.ok(ledger.isWithinLimit('advisers', limit, room(3)));
    assert.ok(!ledger.canReserve('advisers', limit, [room(1)]));
  });

  it('never allows more than the limit and one task, whatever starts and ends', () => {
    const size = fastCheck.integer({min: 0, max: 6});
    const move = fastCheck.record({
      ends: fastCheck.boolean(),
      limit: fastCheck.integer({min: 1, max: 12}),
      sizes: fastCheck.array(size, {minLength: 1, maxLength: 3}),
    });
    fastCheck.assert(
      fastCheck.property(fastCheck.array(move, {maxLength: 60}), moves => {
        const ledger = new ResourceReservations();
        const alive: string[] = [];
        moves.forEach(({ends, limit, sizes}, turn) => {
          if (ends) ledger.release(alive.shift() ?? '');
          const amounts = sizes.map(cores => room(cores));
          if (!ledger.canReserve('o', room(limit), amounts)) return;
          const wasIdle = ledger.usedBy('o').processorMillicores === 0;
          amounts.forEach((amount, index) => {
            ledger.reserve(`${turn}.${index}`, 'o', amount);
            alive.push(`${turn}.${index}`);
          });
          const isOneTask = wasIdle && amounts.length === 1;
          assert.ok(isOneTask || isWithin(ledger.usedBy('o'), room(limit)));
        });
        for (const name of alive) ledger.release(name);
        assert.equal(ledger.usedBy('o').processorMillicores, 0);
      }),
    );
  });
});

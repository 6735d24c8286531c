import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fastCheck from 'fast-check';
import {ResourceReservations, isWithin, type Resources} from '../index.js';

function resources(cores: number, gigabytes = 0): Resources {
  return {
    processorMillicores: cores * 1_000,
    memoryMegabytes: gigabytes * 1_000,
    accelerators: 0,
  };
}

describe('ResourceReservations', () => {
  it('counts a run once, until it is released', () => {
    const reservations = new ResourceReservations();
    reservations.reserve('a/1', 'advisers', resources(2));
    reservations.reserve('a/1', 'advisers', resources(2));
    reservations.reserve('b/1', 'auditors', resources(4));
    assert.equal(reservations.usedBy('advisers').processorMillicores, 2_000);
    assert.equal(reservations.release('a/1'), 'advisers');
    assert.equal(reservations.release('a/1'), undefined);
    assert.equal(reservations.usedBy('advisers').processorMillicores, 0);
    assert.equal(reservations.usedBy('auditors').processorMillicores, 4_000);
  });

  it('allows tasks that together stay within the limit in every resource', () => {
    const reservations = new ResourceReservations();
    reservations.reserve('a/1', 'advisers', resources(2, 1));
    const limit = resources(4, 2);
    assert.ok(reservations.canReserve('advisers', limit, [resources(2, 1)]));
    assert.ok(
      !reservations.canReserve('advisers', limit, [
        resources(2, 1),
        resources(1),
      ]),
    );
    assert.ok(!reservations.canReserve('advisers', limit, [resources(1, 2)]));
    assert.ok(
      reservations.canReserve('auditors', limit, [
        resources(2, 1),
        resources(1, 1),
      ]),
    );
  });

  it('treats a limit of 0 as no limit', () => {
    const reservations = new ResourceReservations();
    reservations.reserve('a/1', 'advisers', resources(1_000));
    assert.ok(
      reservations.canReserve('advisers', resources(0), [resources(1_000)]),
    );
  });

  // A limit lowered below the size of one task would block work accepted before
  // forever: its caller would see a job that runs and never ends. One task at a time
  // may still run, but not a whole gang.
  it('allows a single task above a lowered limit when nothing else runs', () => {
    const reservations = new ResourceReservations();
    const limit = resources(1);
    assert.ok(reservations.canReserve('advisers', limit, [resources(3)]));
    assert.ok(
      !reservations.canReserve('advisers', limit, [resources(3), resources(3)]),
    );
    reservations.reserve('a/1', 'advisers', resources(3));
    assert.ok(reservations.isWithinLimit('advisers', limit, resources(3)));
    assert.ok(!reservations.canReserve('advisers', limit, [resources(1)]));
  });

  it('never allows more than the limit or one task, whatever starts and ends', () => {
    const size = fastCheck.integer({min: 0, max: 6});
    const action = fastCheck.record({
      ends: fastCheck.boolean(),
      limit: fastCheck.integer({min: 1, max: 12}),
      sizes: fastCheck.array(size, {minLength: 1, maxLength: 3}),
    });
    fastCheck.assert(
      fastCheck.property(fastCheck.array(action, {maxLength: 60}), actions => {
        const reservations = new ResourceReservations();
        const alive: string[] = [];
        actions.forEach(({ends, limit, sizes}, index) => {
          if (ends) reservations.release(alive.shift() ?? '');
          const amounts = sizes.map(cores => resources(cores));
          if (!reservations.canReserve('o', resources(limit), amounts)) return;
          const wasIdle = reservations.usedBy('o').processorMillicores === 0;
          amounts.forEach((amount, position) => {
            reservations.reserve(`${index}.${position}`, 'o', amount);
            alive.push(`${index}.${position}`);
          });
          const isOneTask = wasIdle && amounts.length === 1;
          assert.ok(
            isOneTask || isWithin(reservations.usedBy('o'), resources(limit)),
          );
        });
        for (const name of alive) reservations.release(name);
        assert.equal(reservations.usedBy('o').processorMillicores, 0);
      }),
    );
  });
});

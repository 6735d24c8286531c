import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {planWave, type DueVm, type WaveStanding} from '../wave-plan.js';

function due(count: number, differences: Partial<DueVm> = {}): DueVm[] {
  return Array.from({length: count}, (_, index) => ({
    name: `vm-${index}`,
    idle: true,
    emptying: false,
    shortTasks: 0,
    longRunningTasks: 0,
    inDemand: false,
    ...differences,
  }));
}

function standing(differences: Partial<WaveStanding>): WaveStanding {
  return {
    due: due(16),
    away: 0,
    maximumAtOnce: 8,
    leftMilliseconds: 24_000,
    maintenanceMilliseconds: 3_000,
    workWaits: false,
    ...differences,
  };
}

describe('planWave', () => {
  // A burst finds no VMs when the wave has taken the whole reserve in one go.
  it('takes no more VMs at once than the time left asks for', () => {
    const step = planWave(standing({}));
    assert.ok(step.maintain.length > 0);
    assert.ok(step.maintain.length < 8);
    assert.deepEqual(step.empty, []);
  });

  it('takes none while work waits and there is time', () => {
    const step = planWave(standing({workWaits: true, due: due(8)}));
    assert.deepEqual(step.maintain, []);
  });

  it('never goes over the bound of VMs at once', () => {
    const step = planWave(standing({away: 7, leftMilliseconds: 1_000}));
    assert.equal(step.maintain.length, 1);
  });

  it('empties busy VMs with the least work when time runs short', () => {
    const busy = [
      ...due(1, {name: 'lasting', idle: false, longRunningTasks: 1}),
      ...due(1, {name: 'short', idle: false, shortTasks: 3}),
    ];
    const step = planWave(
      standing({due: busy, maximumAtOnce: 1, leftMilliseconds: 8_000}),
    );
    assert.deepEqual(step.empty, ['short']);
  });

  // A burst is served by the very VMs that the wave would empty.
  it('empties VMs of pools that lack room last', () => {
    const busy = [
      ...due(1, {name: 'wanted', idle: false, inDemand: true}),
      ...due(1, {name: 'other', idle: false, longRunningTasks: 1}),
    ];
    const step = planWave(
      standing({due: busy, maximumAtOnce: 1, leftMilliseconds: 8_000}),
    );
    assert.deepEqual(step.empty, ['other']);
  });

  it('goes on emptying what it has begun to empty', () => {
    const busy = due(2, {idle: false, emptying: true, longRunningTasks: 1});
    const step = planWave(standing({due: busy}));
    assert.equal(step.empty.length, 2);
  });
});

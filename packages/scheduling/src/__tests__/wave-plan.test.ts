import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {planWave, type DueVm, type WaveStatus} from '../wave-plan.js';

function due(count: number, differences: Partial<DueVm> = {}): DueVm[] {
  return Array.from({length: count}, (_, index) => ({
    name: `vm-${index}`,
    idle: true,
    isEvacuating: false,
    shortTasks: 0,
    longRunningTasks: 0,
    inDemand: false,
    ...differences,
  }));
}

function standing(differences: Partial<WaveStatus>): WaveStatus {
  return {
    due: due(16),
    inMaintenance: 0,
    maximumAtOnce: 8,
    remainingMilliseconds: 24_000,
    maintenanceMilliseconds: 3_000,
    hasWaitingWork: false,
    ...differences,
  };
}

describe('planWave', () => {
  // A burst finds no VMs when the wave has taken the whole reserve in one go.
  it('takes no more VMs at once than the time left asks for', () => {
    const step = planWave(standing({}));
    assert.ok(step.maintain.length > 0);
    assert.ok(step.maintain.length < 8);
    assert.deepEqual(step.evacuate, []);
  });

  it('takes none while work waits and there is time', () => {
    const step = planWave(standing({hasWaitingWork: true, due: due(8)}));
    assert.deepEqual(step.maintain, []);
  });

  it('never goes over the bound of VMs at once', () => {
    const step = planWave(
      standing({inMaintenance: 7, remainingMilliseconds: 1_000}),
    );
    assert.equal(step.maintain.length, 1);
  });

  it('empties busy VMs with the least work when time runs short', () => {
    const busy = [
      ...due(1, {name: 'lasting', idle: false, longRunningTasks: 1}),
      ...due(1, {name: 'short', idle: false, shortTasks: 3}),
    ];
    const step = planWave(
      standing({due: busy, maximumAtOnce: 1, remainingMilliseconds: 8_000}),
    );
    assert.deepEqual(step.evacuate, ['short']);
  });

  // A burst is served by the very VMs that the wave would empty.
  it('empties VMs of pools that lack room last', () => {
    const busy = [
      ...due(1, {name: 'wanted', idle: false, inDemand: true}),
      ...due(1, {name: 'other', idle: false, longRunningTasks: 1}),
    ];
    const step = planWave(
      standing({due: busy, maximumAtOnce: 1, remainingMilliseconds: 8_000}),
    );
    assert.deepEqual(step.evacuate, ['other']);
  });

  it('goes on emptying what it has begun to empty', () => {
    const busy = due(2, {idle: false, isEvacuating: true, longRunningTasks: 1});
    const step = planWave(standing({due: busy}));
    assert.equal(step.evacuate.length, 2);
  });
});

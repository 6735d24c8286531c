import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {JobExecution, JobState} from '@gentiandoor/jobs';
import {isStalled} from '@gentiandoor/scheduling';
import {RunStatus, newLiveRun, type LiveRun} from '../index.js';
import {canStall, toObservedRun} from '../observed-run.js';
import {job, step} from './deployment.js';

function liveRun(overrides: Partial<LiveRun>, specification = step()): LiveRun {
  const execution = new JobExecution(job('a', [specification]), {
    state: JobState.Running,
    tasks: new Map(),
  });
  const [executableTask] = execution.readyTasks(0);
  const planned = newLiveRun(execution, executableTask, {
    run: 1,
    plannedAt: 0,
    weight: 1,
    expectedMilliseconds: 500,
    stopsOnStall: true,
    isIsolated: false,
    status: RunStatus.Ordered,
    orderAnsweredAt: Infinity,
  });
  return {...planned, ...overrides};
}

describe('stall detection of a run', () => {
  // The store is slow and takes 1.6 s to store the plan of a run; only then is its order
  // sent, and a poll shows the run before the order is answered. Measured from the plan
  // it had stalled for all that time: it was stopped at once, and its healthy worker
  // became suspect.
  it('measures from the order, not from the plan', () => {
    const run = liveRun({orderedAt: 1_646});
    assert.equal(isStalled(toObservedRun(run, 1_656)), false);
    assert.equal(isStalled(toObservedRun(run, 3_300)), true);
  });

  it('measures from the last progress', () => {
    const run = liveRun({orderedAt: 10, percent: 40, percentChangedAt: 2_000});
    assert.equal(isStalled(toObservedRun(run, 2_300)), false);
    assert.equal(isStalled(toObservedRun(run, 2_700)), true);
  });

  it('ignores runs that are long-running, slowed on purpose, being stopped or waiting for their gang', () => {
    assert.equal(canStall(liveRun({})), true);
    assert.equal(canStall(liveRun({stopsOnStall: false})), false);
    assert.equal(canStall(liveRun({stopRequested: true})), false);
    assert.equal(canStall(liveRun({}, step({longRunning: true}))), false);
    assert.equal(canStall(liveRun({}, step({bestEffort: true}))), false);
    assert.equal(canStall(liveRun({}, step({gang: true}))), false);
  });
});

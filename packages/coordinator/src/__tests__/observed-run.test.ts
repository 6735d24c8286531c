import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {JobExecution, JobState} from '@gentiandoor/jobs';
import {isStalled} from '@gentiandoor/scheduling';
import {RunStatus, newLiveRun, type LiveRun} from '../index.js';
import {canStall, toObservedRun} from '../observed-run.js';
import {job, step} from './deployment.js';

function liveRun(
  differences: Partial<LiveRun>,
  specification = step(),
): LiveRun {
  const execution = new JobExecution(job('a', [specification]), {
    state: JobState.Running,
    tasks: new Map(),
  });
  const [taskOfJob] = execution.readyTasks(0);
  const planned = newLiveRun(execution, taskOfJob, {
    run: 1,
    plannedAt: 0,
    weight: 1,
    expectedMilliseconds: 500,
    stopsOnStall: true,
    isIsolated: false,
    status: RunStatus.Ordered,
    orderAnsweredAt: Infinity,
  });
  return {...planned, ...differences};
}

describe('a run that is watched for standing still', () => {
  // The store is slow and keeps the plan of a run for 1.6 s; its order is sent then, and a poll shows
  // it before the order is answered. Counted from the plan it had stood still for all that time, was
  // stopped at once, and its sound worker taken for a suspect.
  it('counts from its order, not from its plan', () => {
    const run = liveRun({orderedAt: 1_646});
    assert.equal(isStalled(toObservedRun(run, 1_656)), false);
    assert.equal(isStalled(toObservedRun(run, 3_300)), true);
  });

  it('counts from its last progress', () => {
    const run = liveRun({orderedAt: 10, percent: 40, percentChangedAt: 2_000});
    assert.equal(isStalled(toObservedRun(run, 2_300)), false);
    assert.equal(isStalled(toObservedRun(run, 2_700)), true);
  });

  it('is none that lasts, is slowed on purpose, is being stopped or waits for its gang', () => {
    assert.equal(canStall(liveRun({})), true);
    assert.equal(canStall(liveRun({stopsOnStall: false})), false);
    assert.equal(canStall(liveRun({stopRequested: true})), false);
    assert.equal(canStall(liveRun({}, step({longRunning: true}))), false);
    assert.equal(canStall(liveRun({}, step({bestEffort: true}))), false);
    assert.equal(canStall(liveRun({}, step({gang: true}))), false);
  });
});

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  JobExecution,
  JobRecordKind,
  JobState,
  PLAIN_STEP,
  decodeJobRecord,
  emptyProgress,
  encodeJobRecord,
  type RunCrash,
} from '../index.js';

const AT_START: RunCrash = {isAtStart: true, isIsolated: true};
const NEXT_TO_OTHERS: RunCrash = {isAtStart: true, isIsolated: false};
const LATER: RunCrash = {isAtStart: false, isIsolated: true};

function newExecution(progress = emptyProgress()): JobExecution {
  const submission = {
    id: 'job',
    queue: 'queue',
    service: 'service',
    payload: '',
    steps: [PLAIN_STEP],
    submittedAtMilliseconds: 0,
  };
  return new JobExecution(submission, progress);
}

function crash(job: JobExecution, ...crashes: readonly RunCrash[]): JobState {
  for (const one of crashes) {
    const [task] = job.readyTasks(0);
    if (!task) break;
    job.crashRun(task, job.beginRun(task, 'worker'), one);
  }
  return job.progress.state;
}

describe('worker crashes during runs of a task', () => {
  it('fail its job after three at the start of runs, the last one isolated from other jobs', () => {
    const job = newExecution();
    assert.equal(crash(job, NEXT_TO_OTHERS, NEXT_TO_OTHERS), JobState.Running);
    assert.equal(crash(job, AT_START), JobState.Failed);
  });

  it('are weaker evidence next to other jobs’ tasks', () => {
    const job = newExecution();
    const three = [NEXT_TO_OTHERS, NEXT_TO_OTHERS, NEXT_TO_OTHERS];
    assert.equal(crash(job, ...three), JobState.Running);
    assert.equal(crash(job, AT_START), JobState.Failed);
  });

  it('fail its job after five of any kind', () => {
    const job = newExecution();
    assert.equal(crash(job, LATER, LATER, LATER, LATER), JobState.Running);
    assert.equal(crash(job, LATER), JobState.Failed);
  });

  it('no longer count once a run survives', () => {
    const job = newExecution();
    crash(job, AT_START, AT_START);
    const [task] = job.readyTasks(0);
    assert.equal(job.clearCrashes(task), true);
    assert.equal(job.clearCrashes(task), false);
    assert.equal(crash(job, AT_START, AT_START), JobState.Running);
  });

  // Guards against a successor that starts counting from zero.
  it('are passed on to the next coordinator', () => {
    const job = newExecution();
    crash(job, AT_START, AT_START);
    const {value} = encodeJobRecord({
      kind: JobRecordKind.Progress,
      jobId: 'job',
      progress: job.progress,
    });
    assert.ok(value);
    const read = decodeJobRecord(JobRecordKind.Progress, 'job', value);
    assert.ok(read.kind === JobRecordKind.Progress);
    assert.equal(crash(newExecution(read.progress), AT_START), JobState.Failed);
  });
});

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fastCheck from 'fast-check';
import {
  RunEndEffect,
  JobExecution,
  JobRecordKind,
  JobState,
  JobTable,
  PLAIN_STEP,
  RunEnd,
  decodeJobRecord,
  emptyProgress,
  emptyTaskProgress,
  encodeJobRecord,
  parseJobRecordKey,
  type JobProgress,
  type JobSubmission,
  type StepSpecification,
} from '../index.js';

const STEP: StepSpecification = {...PLAIN_STEP, taskCount: 2};

function submission(
  steps: readonly StepSpecification[],
  differences: Partial<JobSubmission> = {},
): JobSubmission {
  return {
    id: 'job',
    queue: 'queue',
    service: 'service',
    payload: '',
    steps,
    submittedAtMilliseconds: 0,
    ...differences,
  };
}

function execution(
  steps: readonly StepSpecification[],
  differences: Partial<JobSubmission> = {},
): JobExecution {
  return new JobExecution(submission(steps, differences), emptyProgress());
}

function finishAll(job: JobExecution, end = RunEnd.Done): RunEndEffect[] {
  return job.readyTasks(0).map(task => {
    const run = job.beginRun(task, 'worker');
    return job.endRun(task, run, end, '', 3);
  });
}

/** Encodes and decodes the progress of a job. */
function recordOf({progress}: JobExecution): Buffer {
  const {value} = encodeJobRecord({
    kind: JobRecordKind.Progress,
    jobId: 'job',
    progress,
  });
  assert.ok(value);
  return value;
}

function readBack(job: JobExecution): JobProgress {
  const value = recordOf(job);
  const read = decodeJobRecord(JobRecordKind.Progress, 'job', value);
  assert.ok(read.kind === JobRecordKind.Progress);
  return read.progress;
}

describe('JobExecution', () => {
  // A successor waits for an order from the end of the term that sent it.
  it('passes on which term ordered a run whose order may still be carried out', () => {
    const job = execution([STEP]);
    const [task] = job.readyTasks(0);
    job.beginRun(task, 'worker@17', undefined, 41);
    const open = readBack(job).tasks.get(task.key);
    assert.deepEqual(
      [open?.orderedInTerm, open?.done, open?.isStartExecuted],
      [41, false, false],
    );
    job.noteStartExecuted(task, 1);
    const started = readBack(job).tasks.get(task.key);
    assert.deepEqual(
      [started?.orderedInTerm, started?.isStartExecuted],
      [undefined, true],
    );
  });

  it('starts a step when all tasks of earlier steps are done', () => {
    const job = execution([STEP, {...STEP, after: [0]}]);
    const [first, second] = job.readyTasks(0);
    const run = job.beginRun(first, 'worker');
    job.endRun(first, run, RunEnd.Done, '', 3);
    assert.deepEqual(
      job.readyTasks(0).map(task => task.key),
      [second.key],
    );
    finishAll(job);
    assert.deepEqual(
      job.readyTasks(0).map(task => task.step),
      [1, 1],
    );
    assert.deepEqual(finishAll(job), [
      RunEndEffect.TaskDone,
      RunEndEffect.JobEnded,
    ]);
    assert.equal(job.progress.state, JobState.Completed);
  });

  it('does not start a task while a run of it may be alive', () => {
    const job = execution([{...STEP, taskCount: 1}]);
    job.beginRun(job.readyTasks(0)[0], 'worker');
    assert.deepEqual(job.readyTasks(0), []);
  });

  // The end of an earlier run arrives after the next run was ordered; it must not make
  // the task ready again.
  it('ignores the end of an earlier run', () => {
    const job = execution([{...STEP, taskCount: 1}]);
    const [task] = job.readyTasks(0);
    job.endRun(task, job.beginRun(task, 'one'), RunEnd.Lost, '', 3);
    job.beginRun(task, 'two');
    assert.equal(job.endRun(task, 1, RunEnd.Failed, '', 3), RunEndEffect.Stale);
    assert.deepEqual(job.readyTasks(0), []);
  });

  it('fails after the maximum number of attempts, counting only failed runs', () => {
    const job = execution([{...STEP, taskCount: 1}]);
    finishAll(job, RunEnd.Stopped);
    finishAll(job, RunEnd.Failed);
    finishAll(job, RunEnd.Lapsed);
    finishAll(job, RunEnd.Failed);
    assert.equal(job.hasEnded, false);
    finishAll(job, RunEnd.Failed);
    assert.equal(job.progress.state, JobState.Failed);
  });

  // A worker was unreachable and its run was given up. When it returns, the run's end
  // must count; otherwise a task that failed during the partition is started more often
  // than the queue allows.
  it('counts the failure of a run that was given up exactly once', () => {
    const job = execution([{...STEP, taskCount: 1}]);
    finishAll(job, RunEnd.Lost);
    finishAll(job, RunEnd.Failed);
    const task = job.task('0.0.0');
    assert.ok(task);
    assert.equal(
      job.applyLateRunEnd(task, 1, RunEnd.Failed, 3),
      RunEndEffect.Retry,
    );
    job.applyLateRunEnd(task, 1, RunEnd.Failed, 3);
    assert.equal(job.hasEnded, false);
    finishAll(job, RunEnd.Failed);
    assert.equal(job.progress.state, JobState.Failed);
  });

  it('completes when an earlier run that was given up turns out to be done', () => {
    const job = execution([{...STEP, taskCount: 1}]);
    finishAll(job, RunEnd.Lost);
    const [task] = job.readyTasks(0);
    const second = job.beginRun(task, 'other');
    assert.equal(
      job.applyLateRunEnd(task, 1, RunEnd.Done, 3),
      RunEndEffect.JobEnded,
    );
    assert.equal(
      job.endRun(task, second, RunEnd.Stopped, '', 3),
      RunEndEffect.JobEnded,
    );
    assert.equal(job.progress.state, JobState.Completed);
  });

  // A worker is unreachable until its lease has expired, and its run is given up. No
  // other worker has capacity, so the task has no newer run when the worker returns and
  // reports the run as done: the task must not run again.
  it('completes when its latest run was given up and turns out to be done', () => {
    const job = execution([{...STEP, taskCount: 1}]);
    finishAll(job, RunEnd.Lost);
    const task = job.task('0.0.0');
    assert.ok(task);
    assert.equal(
      job.applyLateRunEnd(task, 1, RunEnd.Done, 3),
      RunEndEffect.JobEnded,
    );
    assert.deepEqual(job.readyTasks(0), []);
  });

  it('restarts a long-running task however it ends', () => {
    const job = execution([{...STEP, taskCount: 1, longRunning: true}]);
    for (let run = 0; run < 8; run++) finishAll(job, RunEnd.Failed);
    finishAll(job, RunEnd.Done);
    assert.equal(job.hasEnded, false);
    assert.equal(job.readyTasks(0).length, 1);
  });

  it('completes a gang when one of its members is done', () => {
    const job = execution([{...STEP, taskCount: 3, gang: true}]);
    const tasks = job.readyTasks(0);
    for (const task of tasks) job.beginRun(task, `on-${task.index}`, 1);
    assert.equal(
      job.endRun(tasks[1], 1, RunEnd.Done, '', 3),
      RunEndEffect.JobEnded,
    );
    assert.equal(job.progress.state, JobState.Completed);
  });

  it('starts an occurrence when it is due', () => {
    const job = execution([{...STEP, taskCount: 1}], {
      repeat: {count: 2, startAtMilliseconds: 1_000, intervalMilliseconds: 500},
    });
    assert.equal(job.readyTasks(999).length, 0);
    assert.equal(job.readyTasks(1_000).length, 1);
    assert.equal(job.nextScheduledStartAfter(1_000), 1_500);
    assert.equal(job.readyTasks(1_500).length, 2);
  });
});

describe('records of jobs', () => {
  // Every daemon reads the progress of all jobs. Of a job that has ended, only its
  // state and the runs that may still be alive are needed.
  it('contain only the runs that may be alive for a job that has ended', () => {
    const job = execution([{...STEP, taskCount: 8}]);
    const [alive, ...others] = job.readyTasks(0);
    job.beginRun(alive, 'worker');
    for (const task of others)
      job.endRun(task, job.beginRun(task, 'other'), RunEnd.Done, '', 3);
    job.cancel();
    const {key, value} = encodeJobRecord({
      kind: JobRecordKind.Progress,
      jobId: 'job',
      progress: job.progress,
    });
    assert.ok(value);
    assert.ok(key);
    const record = decodeJobRecord(JobRecordKind.Progress, 'job', value);
    assert.ok(record.kind === JobRecordKind.Progress);
    assert.equal(record.progress.state, JobState.Cancelled);
    assert.deepEqual([...record.progress.tasks.keys()], [alive.key]);
  });

  it('are decoded as they were encoded', () => {
    const job = execution([STEP]);
    job.beginRun(job.readyTasks(0)[0], 'worker');
    const record = encodeJobRecord({
      kind: JobRecordKind.Progress,
      jobId: 'job',
      progress: job.progress,
    });
    const key = parseJobRecordKey(record.key);
    assert.ok(key && record.value);
    const read = decodeJobRecord(key.kind, key.jobId, record.value);
    assert.ok(read.kind === JobRecordKind.Progress);
    assert.deepEqual(read.progress, job.progress);
  });

  // A successor that read a smaller count could stop a task for the third time; one that
  // read the count in the place of the crashes would give up the task.
  it('keep how often a task was stopped for other work', () => {
    const job = execution([STEP]);
    const [task] = job.readyTasks(0);
    job.beginRun(task, 'worker');
    task.progress.preemptions = 2;
    assert.deepEqual(readBack(job), job.progress);
  });

  // A successor that does not know that the order was carried out waits for it in vain.
  it('keep whether the order of the live run was carried out', () => {
    const job = execution([STEP]);
    const [task] = job.readyTasks(0);
    const run = job.beginRun(task, 'worker');
    assert.ok(job.noteStartExecuted(task, run));
    assert.ok(!job.noteStartExecuted(task, run), 'known already');
    assert.deepEqual(readBack(job), job.progress);
    job.endRun(task, run, RunEnd.Lost, '', 3);
    job.beginRun(task, 'worker');
    assert.ok(!task.progress.isStartExecuted, 'of the latest run only');
  });

  // Every start and end writes the records of all tasks of a job; larger ones delay each of them.
  it('do not grow when the order of a run was carried out', () => {
    const job = execution([STEP]);
    const [task] = job.readyTasks(0);
    const run = job.beginRun(task, 'worker');
    const before = recordOf(job).length;
    job.noteStartExecuted(task, run);
    assert.equal(recordOf(job).length, before);
  });

  it('leave out what is not read of a task that is done', () => {
    const job = execution([STEP, STEP]);
    const [task] = job.readyTasks(0);
    const run = job.beginRun(task, 'worker');
    task.progress.checkpoint = 'saved';
    job.endRun(task, run, RunEnd.Done, 'saved', 3);
    const read = readBack(job).tasks.get(task.key);
    assert.deepEqual(read, {...emptyTaskProgress(), run, done: true});
  });

  // During an upgrade the store holds records of the build before.
  it('are read as an earlier build wrote them', () => {
    const record = decodeJobRecord(
      JobRecordKind.Progress,
      'job',
      Buffer.from(
        JSON.stringify({
          state: JobState.Running,
          tasks: [
            ['0.0.0', 2, 1, [1], 'saved', ''],
            ['0.0.1', 1, 0, [], '', 'worker', [0, 0], 0, 1],
          ],
        }),
      ),
    );
    assert.ok(record.kind === JobRecordKind.Progress);
    const [done, started] = [...record.progress.tasks.values()];
    assert.ok(done.done);
    assert.deepEqual(done.failedRuns, [1]);
    assert.ok(started.isStartExecuted);
    assert.equal(started.worker, 'worker');
  });

  // Bytes of another writer under a job key must neither stop the reading of the log
  // nor change the known state of a job.
  it('are rejected or harmless if another writer wrote them', () => {
    fastCheck.assert(
      fastCheck.property(
        fastCheck.constantFrom('j/', 'c/', 'p/', 'x/', ''),
        fastCheck.oneof(
          fastCheck.string(),
          fastCheck.json(),
          fastCheck.constant('{"state":"completed"}'),
        ),
        (prefix, text) => {
          const table = new JobTable();
          table.apply(
            encodeJobRecord({
              kind: JobRecordKind.Submission,
              job: submission([STEP]),
            }),
          );
          try {
            table.apply({key: `${prefix}job`, value: Buffer.from(text)});
          } catch {
            // Rejected: the follower logs the error and continues.
          }
          const found = table.find('job');
          assert.ok(found);
          assert.equal(found.submission.steps.length, 1);
          assert.ok(Object.values(JobState).includes(table.stateOf(found)));
        },
      ),
    );
  });
});

describe('JobTable', () => {
  it('stores a job once, however often it is submitted', () => {
    const table = new JobTable();
    let notifications = 0;
    table.listen({submitted: () => notifications++});
    const record = encodeJobRecord({
      kind: JobRecordKind.Submission,
      job: submission([STEP]),
    });
    table.apply(record);
    table.apply(record);
    assert.equal(notifications, 1);
  });

  it('shows a cancellation immediately, but never instead of a final state', () => {
    const table = new JobTable();
    table.apply(
      encodeJobRecord({
        kind: JobRecordKind.Submission,
        job: submission([STEP]),
      }),
    );
    table.apply(
      encodeJobRecord({kind: JobRecordKind.Cancellation, jobId: 'job'}),
    );
    const found = table.find('job');
    assert.ok(found);
    assert.equal(table.stateOf(found), JobState.Cancelled);
    table.apply(
      encodeJobRecord({
        kind: JobRecordKind.Progress,
        jobId: 'job',
        progress: {state: JobState.Completed, tasks: new Map()},
      }),
    );
    assert.equal(table.stateOf(found), JobState.Completed);
  });
});

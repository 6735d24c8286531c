import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {LogEvent} from '@gentiandoor/kernel';
import {
  computeTimeBreakdown,
  type TimeBreakdown,
} from '../account/time-breakdown.js';
import {TimeCategory} from '../account/job-time-breakdown.js';
import {parseLogLines} from '../job-timeline.js';

const STARTED_AT = 1_800_000_000_000;
const QUOTE_JOB = '5c0e7a21d94b36f8';
const OBJECTIVE_MILLISECONDS = 2_500;
const REVIEW_JOB = 'a1b2c3d4e5f60718';

function line(
  afterMilliseconds: number,
  event: LogEvent,
  fields: object,
): string {
  const row = {
    level: 30,
    time: STARTED_AT + afterMilliseconds,
    node: 'one',
    event,
    ...fields,
  };
  return JSON.stringify({...row, msg: LogEvent[event]});
}

function jobTaken(
  afterMilliseconds: number,
  job: string,
  queue: string,
): string {
  return line(afterMilliseconds, LogEvent.JobTaken, {
    job,
    queue,
    milliseconds: 12,
  });
}

function runOrdered(
  afterMilliseconds: number,
  task: string,
  run: number,
): string {
  const fields = {task, run, worker: `w-${run}`, storedAfterMilliseconds: 20};
  return line(afterMilliseconds, LogEvent.RunOrdered, fields);
}

function runEnded(
  afterMilliseconds: number,
  task: string,
  run: number,
): string {
  return line(afterMilliseconds, LogEvent.RunEnded, {
    task,
    run,
    worker: `w-${run}`,
  });
}

function jobEnded(afterMilliseconds: number, job: string): string {
  return line(afterMilliseconds, LogEvent.JobEnded, {
    job,
    state: 'completed',
    milliseconds: afterMilliseconds,
    objectiveMilliseconds: OBJECTIVE_MILLISECONDS,
  });
}

function breakdownOf(...rows: string[]): TimeBreakdown {
  return computeTimeBreakdown(parseLogLines(rows.join('\n')).lines);
}

describe('computeTimeBreakdown', () => {
  describe('for a job that waits for capacity and runs once', () => {
    it('separates waiting for capacity, storing and running', () => {
      const {byQueue} = breakdownOf(
        line(0, LogEvent.DaemonStarted, {dataCentre: 'hall-a'}),
        jobTaken(1_000, QUOTE_JOB, 'quotes'),
        runOrdered(1_500, `${QUOTE_JOB}.0.0.0`, 1),
        runEnded(2_300, `${QUOTE_JOB}.0.0.0`, 1),
        jobEnded(2_300, QUOTE_JOB),
      );
      assert.equal(byQueue.length, 1);
      assert.equal(byQueue[0].meanMilliseconds, 1_300);
      assert.equal(byQueue[0].late, 0);
      assert.equal(byQueue[0].uses[TimeCategory.Capacity], 480);
      assert.equal(byQueue[0].uses[TimeCategory.Store], 20);
      assert.equal(byQueue[0].uses[TimeCategory.Running], 800);
    });
  });

  describe('for a job whose coordinator and worker are lost', () => {
    // The caller waits 5 s for one second of work: the worker stops responding, the coordinator is
    // killed, and the next coordinator recovers the active runs and orders the task again.
    it('attributes time to the silent worker, the coordinator change and the rerun', () => {
      const {byQueue, bySize} = breakdownOf(
        jobTaken(0, REVIEW_JOB, 'reviews'),
        runOrdered(100, `${REVIEW_JOB}.0.0.0`, 1),
        line(600, LogEvent.WorkerSilent, {worker: 'w-1'}),
        line(1_600, LogEvent.WorkerLeft, {worker: 'w-1'}),
        runEnded(1_600, `${REVIEW_JOB}.0.0.0`, 1),
        line(3_000, LogEvent.TermTaken, {term: 2}),
        line(3_100, LogEvent.RecoveryFinished, {term: 2}),
        runOrdered(4_000, `${REVIEW_JOB}.0.0.0`, 2),
        runEnded(5_000, `${REVIEW_JOB}.0.0.0`, 2),
        jobEnded(5_000, REVIEW_JOB),
      );
      const [{uses, late}] = byQueue;
      assert.equal(late, 1);
      assert.equal(uses[TimeCategory.Running], 500);
      assert.equal(uses[TimeCategory.SilentWorker], 1_000);
      assert.equal(uses[TimeCategory.Coordinator], 1_500);
      assert.equal(uses[TimeCategory.Rerun], 1_000);
      assert.equal(bySize[0].label, '4 tasks at most');
    });
  });

  describe('for submissions that were not accepted', () => {
    it('counts them by response', () => {
      const {refusals, byQueue} = breakdownOf(
        line(0, LogEvent.JobRefused, {job: QUOTE_JOB, answer: 'refused'}),
        line(9, LogEvent.JobRefused, {job: QUOTE_JOB, answer: 'refused'}),
        line(20, LogEvent.JobRefused, {job: REVIEW_JOB, answer: 'unknown'}),
      );
      assert.deepEqual(refusals, {refused: 2, unknown: 1});
      assert.deepEqual(byQueue, []);
    });
  });

  describe('for pools', () => {
    it('shows the mean of the logged values', () => {
      const {pools} = breakdownOf(
        jobTaken(0, QUOTE_JOB, 'quotes'),
        runOrdered(10, `${QUOTE_JOB}.0.0.0`, 1),
        line(500, LogEvent.PoolSized, {service: 'desk', usable: 3, wanted: 8}),
        line(900, LogEvent.PoolSized, {service: 'desk', usable: 5, wanted: 8}),
        runEnded(1_000, `${QUOTE_JOB}.0.0.0`, 1),
        jobEnded(1_000, QUOTE_JOB),
      );
      assert.equal(pools[0].label, 'desk 0 s');
      assert.equal(pools[0].values.usable, 4);
      assert.equal(pools[0].values.wanted, 8);
    });
  });

  describe('for organisations', () => {
    it('counts jobs and refusals by organisation, and rejected calls by reason', () => {
      const organisation = 'advisers';
      const breakdown = breakdownOf(
        line(0, LogEvent.JobTaken, {job: QUOTE_JOB, queue: 'q', organisation}),
        jobEnded(3_000, QUOTE_JOB),
        line(10, LogEvent.JobTaken, {job: REVIEW_JOB, queue: 'q'}),
        jobEnded(700, REVIEW_JOB),
        line(20, LogEvent.JobRefused, {
          job: 'b1b2c3d4e5f60718',
          organisation,
          answer: 'refused',
        }),
        line(30, LogEvent.CallRefused, {queue: 'q', reason: 'refused'}),
        line(31, LogEvent.CallRefused, {queue: 'q', reason: 'refused'}),
        line(32, LogEvent.CallRefused, {queue: 'q', reason: 'unsure'}),
      );
      assert.deepEqual(
        breakdown.byOrganisation.map(({label, jobs, late}) => [
          label,
          jobs,
          late,
        ]),
        [['advisers', 1, 1]],
      );
      assert.deepEqual(breakdown.refusalsByOrganisation, {advisers: 1});
      assert.deepEqual(breakdown.callsRefused, {refused: 2, unsure: 1});
    });
  });
});

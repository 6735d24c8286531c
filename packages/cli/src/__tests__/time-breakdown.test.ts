import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {LogEvent} from '@gentiandoor/kernel';
import {
  computeTimeBreakdown,
  type TimeBreakdown,
} from '../account/time-breakdown.js';
import {TimeCategory} from '../account/job-time-breakdown.js';
import {parseLogLines} from '../job-timeline.js';

const BEGAN = 1_800_000_000_000;
const QUOTE = '5c0e7a21d94b36f8';
const OBJECTIVE_MILLISECONDS = 2_500;
const REVIEW = 'a1b2c3d4e5f60718';

function line(after: number, event: LogEvent, fields: object): string {
  const row = {level: 30, time: BEGAN + after, node: 'one', event, ...fields};
  return JSON.stringify({...row, msg: LogEvent[event]});
}

function taken(after: number, job: string, queue: string): string {
  return line(after, LogEvent.JobTaken, {job, queue, milliseconds: 12});
}

function ordered(after: number, task: string, run: number): string {
  const fields = {task, run, worker: `w-${run}`, storedAfterMilliseconds: 20};
  return line(after, LogEvent.RunOrdered, fields);
}

function ended(after: number, task: string, run: number): string {
  return line(after, LogEvent.RunEnded, {task, run, worker: `w-${run}`});
}

function finished(after: number, job: string): string {
  return line(after, LogEvent.JobEnded, {
    job,
    state: 'completed',
    milliseconds: after,
    objectiveMilliseconds: OBJECTIVE_MILLISECONDS,
  });
}

function account(...rows: string[]): TimeBreakdown {
  return computeTimeBreakdown(parseLogLines(rows.join('\n')).lines);
}

describe('the account of a day', () => {
  describe('of a job that waits for room and runs once', () => {
    it('tells waiting, storing and running apart', () => {
      const {byQueue} = account(
        line(0, LogEvent.DaemonStarted, {dataCentre: 'hall-a'}),
        taken(1_000, QUOTE, 'quotes'),
        ordered(1_500, `${QUOTE}.0.0.0`, 1),
        ended(2_300, `${QUOTE}.0.0.0`, 1),
        finished(2_300, QUOTE),
      );
      assert.equal(byQueue.length, 1);
      assert.equal(byQueue[0].meanMilliseconds, 1_300);
      assert.equal(byQueue[0].late, 0);
      assert.equal(byQueue[0].uses[TimeCategory.Capacity], 480);
      assert.equal(byQueue[0].uses[TimeCategory.Store], 20);
      assert.equal(byQueue[0].uses[TimeCategory.Running], 800);
    });
  });

  describe('of a job whose coordinator and worker are lost', () => {
    // The caller waits 5 s for a second's work: the worker falls silent, the coordinator is killed,
    // the next one learns what runs and orders the task again.
    it('blames the worker, the change of coordinator and the second run', () => {
      const {byQueue, bySize} = account(
        taken(0, REVIEW, 'reviews'),
        ordered(100, `${REVIEW}.0.0.0`, 1),
        line(600, LogEvent.WorkerSilent, {worker: 'w-1'}),
        line(1_600, LogEvent.WorkerLeft, {worker: 'w-1'}),
        ended(1_600, `${REVIEW}.0.0.0`, 1),
        line(3_000, LogEvent.TermTaken, {term: 2}),
        line(3_100, LogEvent.RecoveryFinished, {term: 2}),
        ordered(4_000, `${REVIEW}.0.0.0`, 2),
        ended(5_000, `${REVIEW}.0.0.0`, 2),
        finished(5_000, REVIEW),
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

  describe('of submissions that were not taken', () => {
    it('counts them by their answer', () => {
      const {refusals, byQueue} = account(
        line(0, LogEvent.JobRefused, {job: QUOTE, answer: 'refused'}),
        line(9, LogEvent.JobRefused, {job: QUOTE, answer: 'refused'}),
        line(20, LogEvent.JobRefused, {job: REVIEW, answer: 'unknown'}),
      );
      assert.deepEqual(refusals, {refused: 2, unknown: 1});
      assert.deepEqual(byQueue, []);
    });
  });

  describe('of pools', () => {
    it('shows what their sizes were decided from', () => {
      const {pools} = account(
        taken(0, QUOTE, 'quotes'),
        ordered(10, `${QUOTE}.0.0.0`, 1),
        line(500, LogEvent.PoolSized, {service: 'desk', usable: 3, wanted: 8}),
        line(900, LogEvent.PoolSized, {service: 'desk', usable: 5, wanted: 8}),
        ended(1_000, `${QUOTE}.0.0.0`, 1),
        finished(1_000, QUOTE),
      );
      assert.equal(pools[0].label, 'desk 0 s');
      assert.equal(pools[0].values.usable, 4);
      assert.equal(pools[0].values.wanted, 8);
    });
  });

  describe('of organisations', () => {
    it('tells their jobs and refusals apart, and calls that were not let in', () => {
      const organisation = 'advisers';
      const day = account(
        line(0, LogEvent.JobTaken, {job: QUOTE, queue: 'q', organisation}),
        finished(3_000, QUOTE),
        line(10, LogEvent.JobTaken, {job: REVIEW, queue: 'q'}),
        finished(700, REVIEW),
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
        day.byOrganisation.map(({label, jobs, late}) => [label, jobs, late]),
        [['advisers', 1, 1]],
      );
      assert.deepEqual(day.refusalsByOrganisation, {advisers: 1});
      assert.deepEqual(day.callsRefused, {refused: 2, unsure: 1});
    });
  });
});

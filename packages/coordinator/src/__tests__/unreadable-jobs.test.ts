import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  JobRecordKind,
  encodeJobRecord,
  jobRecordKey,
  type JobSubmission,
} from '@gentiandoor/jobs';
import {LogEvent} from '@gentiandoor/kernel';
import {LogStream} from '../index.js';
import {TestDeployment, job, step} from './deployment.js';
import {startedTasks, submit} from './submitted-jobs.js';

const UNREADABLE_STEPS = {
  'without fields': {},
  'of another type': null,
  'without predecessors': {...step(), after: undefined},
  'with unreadable predecessors': {...step(), after: [{toString: null}]},
};

// Each coordinator ended while it recovered the job, and no job of any service started any more.
describe('a stored job with a step that can not be read', () => {
  for (const [how, unreadable] of Object.entries(UNREADABLE_STEPS))
    it(`${how} does not keep a successor from serving the others`, async () => {
      const deployment = new TestDeployment(2);
      const first = await deployment.startDaemon('one');
      await submit(deployment, first, job('before', [step({taskCount: 20})]));
      const stored = encodeJobRecord({
        kind: JobRecordKind.Submission,
        job: {...job('odd'), steps: [unreadable as never]},
      });
      deployment.store.write(LogStream.Submissions, stored);
      first.kill();
      const second = await deployment.startDaemon('two');
      await deployment.run(5_000);
      await submit(deployment, second, job('after'));
      await deployment.run(15_000);
      assert.equal(startedTasks(deployment, 'before'), 20);
      assert.equal(startedTasks(deployment, 'after'), 1);
      const {events} = second;
      assert.ok(
        events.of(LogEvent.RecordUnreadable) + events.of(LogEvent.TaskFailed) >
          0,
      );
    });
});

const REPEAT = {count: 1, startAtMilliseconds: 0, intervalMilliseconds: 1};
const OVERSIZED_JOBS: Readonly<Record<string, Partial<JobSubmission>>> = {
  tasks: {steps: [step({taskCount: 1e9})]},
  'tasks of several steps': {
    steps: Array.from({length: 1_000}, () => step({taskCount: 1_000})),
  },
  occurrences: {repeat: {...REPEAT, count: 1e9}},
  'occurrences without number': {repeat: {...REPEAT, count: Infinity}},
};

/** Writes JSON in which a number beyond every measure stands for an infinite one. */
function withInfinities(value: unknown): Buffer {
  const text = JSON.stringify(value, (_, item: unknown) =>
    item === Infinity ? 'infinite' : item,
  );
  return Buffer.from(text.replaceAll('"infinite"', '1e999'));
}

// The coordinator created each task of the job and did nothing else any more.
describe('a stored job that is too large to be executed', () => {
  for (const [what, oversized] of Object.entries(OVERSIZED_JOBS))
    it(`by its ${what} does not keep the others from being served`, async () => {
      const deployment = new TestDeployment(2);
      const daemon = await deployment.startDaemon('one');
      deployment.store.write(LogStream.Submissions, {
        key: jobRecordKey(JobRecordKind.Submission, 'odd'),
        value: withInfinities({...job('odd'), ...oversized}),
      });
      await deployment.run(500);
      await submit(deployment, daemon, job('after'));
      await deployment.run(2_000);
      assert.equal(startedTasks(deployment, 'after'), 1);
      assert.equal(startedTasks(deployment, 'odd'), 0);
      assert.equal(daemon.events.of(LogEvent.RecordUnreadable), 1);
    });
});

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {JobRecordKind, encodeJobRecord} from '@gentiandoor/jobs';
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

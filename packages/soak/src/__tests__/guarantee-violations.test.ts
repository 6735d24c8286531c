import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {RunEnd} from '@gentiandoor/jobs';
import type {StartedRun} from '@gentiandoor/coordinator/stand-ins';
import {guaranteeViolations} from '../guarantee-violations.js';
import type {ObservedJob} from '../soak-callers.js';

const JOB = '0000000000000001';

describe('guaranteeViolations', () => {
  // The check once counted only jobs whose submission was answered with success.
  describe('for a cancelled job whose submission got no answer', () => {
    it('reports a task that runs on', () => {
      const found = guaranteeViolations([cancelledAt(1_000)], [run(1_500)]);
      assert.deepEqual(found, [`${JOB}: cancelled and still running`]);
    });

    it('reports a task that starts late', () => {
      const found = guaranteeViolations(
        [cancelledAt(1_000)],
        [run(5_001, 5_100)],
      );
      const expected = `${JOB}.0.0.0: started late after its cancellation`;
      assert.deepEqual(found, [expected]);
    });

    it('accepts a task that is stopped in time', () => {
      const found = guaranteeViolations(
        [cancelledAt(1_000)],
        [run(1_500, 1_900)],
      );
      assert.deepEqual(found, []);
    });
  });
});

function cancelledAt(milliseconds: number): ObservedJob {
  return {
    id: JOB,
    service: 'previews',
    steps: [],
    statuses: [],
    unanswered: 1,
    cancelledAt: milliseconds,
    cancelTried: true,
    state: undefined,
  };
}

function run(startedAt: number, endedAt?: number): StartedRun {
  return {
    task: `${JOB}.0.0.0`,
    run: 1,
    checkpoint: '',
    worker: 'worker-0',
    startedAt,
    endedAt,
    end: endedAt === undefined ? undefined : RunEnd.Stopped,
    acknowledgedAt: undefined,
  };
}

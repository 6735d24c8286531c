import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {RunEnd} from '@gentiandoor/jobs';
import {startsAfterCrashes, type StartedRun} from '../stand-ins/index.js';

function crashedRun(
  run: number,
  startedAt: number,
  endedAt: number,
): StartedRun {
  return {
    task: 'a',
    run,
    worker: 'worker',
    startedAt,
    endedAt,
    end: RunEnd.Crashed,
    acknowledgedAt: undefined,
    checkpoint: '',
  };
}

describe('startsAfterCrashes', () => {
  it('counts the runs that begin after the crash of another', () => {
    const runs = [1, 2, 3, 4, 5].map(run =>
      crashedRun(run, 1_000 * run, 1_000 * run + 10),
    );
    assert.equal(startsAfterCrashes(runs, 'a', 3), 2);
  });

  // A run whose worker crashed in the moment in which it began came after its own crash.
  it('does not count a run after its own crash', () => {
    const runs = [
      crashedRun(1, 1_000, 1_010),
      crashedRun(2, 2_000, 2_010),
      crashedRun(3, 3_000, 3_000),
      crashedRun(4, 4_000, 4_010),
      crashedRun(5, 5_000, 5_010),
    ];
    assert.equal(startsAfterCrashes(runs, 'a', 3), 2);
  });
});

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {JobExecution, JobState} from '@gentiandoor/jobs';
import {VirtualClock} from '@gentiandoor/kernel';
import {
  EveryJobEntitled,
  NO_LIMIT,
  UnchangedOrder,
} from '@gentiandoor/organisations';
import {FullestFirst, LargestPostponed} from '@gentiandoor/scheduling';
import {Dispatcher} from '../dispatcher.js';
import {RoundCause} from '../round-cause.js';
import {ServiceDemand} from '../service-demand.js';
import {SERVICE, job} from './deployment.js';

describe('Dispatcher', () => {
  // Each round of placement set a timer of its own for a job that is due later, each
  // timer led to a round, and their number never decreased: after a busy second the
  // coordinator continued with a hundred useless rounds a second. Callers of everything
  // else waited longer and longer.
  it('checks a job that is due later once a second, however busy it was before', async () => {
    const clock = new VirtualClock();
    let rounds = 0;
    const dispatcher = new Dispatcher(
      {
        isConfigured: true,
        term: 1,
        sessionsOf: () => {
          rounds++;
          return [];
        },
        queueOf: () => undefined,
        mayOrder: () => true,
        organisationLimitAllows: () => true,
        poolShares: (_service, _waiting, pool) => ({
          capacity: pool,
          totalWeight: 1,
          weightOf: () => 1,
          usedBy: () => NO_LIMIT,
        }),
        fleetCanRun: () => true,
        placementFailed: (_fields, error) => {
          throw error;
        },
        launch: () => undefined,
      },
      new FullestFirst(),
      new LargestPostponed(),
      new UnchangedOrder(),
      new EveryJobEntitled(),
      new ServiceDemand(),
      clock,
    );
    const repeat = {
      count: 2,
      startAtMilliseconds: clock.wallMilliseconds() + 60_000,
      intervalMilliseconds: 5_000,
    };
    dispatcher.add(
      new JobExecution(
        {...job('later'), repeat},
        {state: JobState.Queued, tasks: new Map()},
      ),
      0,
    );
    for (let wake = 0; wake < 100; wake++) {
      dispatcher.schedulePlacement(SERVICE, RoundCause.WorkerChanged);
      await clock.advanceAsync(10);
    }
    const busy = rounds;
    await clock.advanceAsync(10_000);
    assert.ok(busy >= 50, `${busy} rounds while busy`);
    assert.ok(rounds - busy <= 12, `${rounds - busy} rounds in ten seconds`);
  });
});

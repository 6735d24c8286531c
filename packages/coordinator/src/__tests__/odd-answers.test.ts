import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {JobState} from '@gentiandoor/jobs';
import {WorkerFault} from '../stand-ins/index.js';
import {OrderOutcome, type PollResult} from '../index.js';
import {
  TestDeployment,
  behaviour,
  job,
  step,
  type TestDaemon,
} from './deployment.js';
import {startedTasks, submit} from './submitted-jobs.js';

const WORKER = 'worker-0';
const TASKS_OF_TWO_WORKERS = 16;
/** Longest time until an order without a response is carried out, and the longest lease. */
const LEASE_OVER_MILLISECONDS = 23_000;

const MAXIMUM_STOPS_IN_FLIGHT = 100;
const STRANGE_RUNS = Array.from({length: 1_000}, (_, index) => ({
  task: `strange-${index}.0.0.0`,
  run: 1,
  checkpoint: '',
  percent: 0,
  load: 0,
}));

type PollAnswer = Extract<PollResult, {outcome: OrderOutcome.Done}>;

/** Changes the answers of one worker to polls; returns a function that ends it. */
function changeAnswers(
  {workers}: TestDaemon,
  change: (answer: PollAnswer) => PollAnswer,
): () => void {
  const poll = workers.poll.bind(workers);
  let isChanged = true;
  workers.poll = async (worker, request) => {
    const result = await poll(worker, request);
    const isOdd = isChanged && worker.instance === WORKER;
    return isOdd && result.outcome === OrderOutcome.Done
      ? change(result)
      : result;
  };
  return () => {
    isChanged = false;
  };
}

// The lease granted on a clock that was far ahead never ended, nor did the runs under it.
describe('a worker whose clock was far ahead', () => {
  for (const clockMilliseconds of [1e12, Number.MAX_SAFE_INTEGER])
    it(`has its runs freed once it is silent: ${clockMilliseconds}`, async () => {
      const deployment = new TestDeployment(2);
      deployment.behaviours.set('a', behaviour({durationMilliseconds: 3_000}));
      const daemon = await deployment.startDaemon('one');
      const endChange = changeAnswers(daemon, answer => ({
        ...answer,
        clockMilliseconds,
      }));
      await submit(
        deployment,
        daemon,
        job('a', [step({taskCount: TASKS_OF_TWO_WORKERS})]),
      );
      await deployment.run(1_500);
      endChange();
      await deployment.run(300);
      daemon.workers.setFault(WORKER, WorkerFault.Cut);
      await deployment.run(LEASE_OVER_MILLISECONDS + 4_000);

      assert.deepEqual(await deployment.answerOf(daemon, 'a'), {
        kind: 'state',
        state: JobState.Completed,
      });
      const runs = deployment.startedRuns();
      const lost = runs.filter(run => run.worker === WORKER);
      for (const run of runs.filter(({run}) => run > 1))
        assert.ok(
          lost.every(({endedAt}) => Number(endedAt) <= run.startedAt),
          'a run began beside one that was alive',
        );
    });
});

// Each listed run was stopped at once: 20,000 requests were prepared in the same moment.
describe('a worker that lists runs without number', () => {
  it('is sent a bounded number of stop orders at the same time', async () => {
    const deployment = new TestDeployment(2);
    const daemon = await deployment.startDaemon('one');
    const stop = daemon.workers.stop.bind(daemon.workers);
    const stopped = new Set<string>();
    let open = 0;
    let mostOpen = 0;
    daemon.workers.stop = async (worker, run, fencingToken) => {
      mostOpen = Math.max(mostOpen, ++open);
      stopped.add(run.task);
      return stop(worker, run, fencingToken).finally(() => open--);
    };
    changeAnswers(daemon, answer => ({
      ...answer,
      running: [...answer.running, ...STRANGE_RUNS],
    }));
    await submit(deployment, daemon, job('good', [step({taskCount: 8})]));
    await deployment.run(20_000);

    assert.equal(startedTasks(deployment, 'good'), 8);
    assert.ok(mostOpen <= MAXIMUM_STOPS_IN_FLIGHT, `${mostOpen}`);
    assert.equal(stopped.size, STRANGE_RUNS.length);
  });
});

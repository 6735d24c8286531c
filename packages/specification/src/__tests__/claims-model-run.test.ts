import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {ClaimsFleet} from './claims-fleet.js';
import {
  CLAIMS_COMMANDS,
  DAEMON_PLACEMENTS,
  checkAfterRecovery,
  runReleasingAllSteps,
  type ClaimsUnderTest,
} from './claims-commands.js';
import {KeyedRequestModel} from './keyed-request-model.js';

/** `npm run model` sets more runs; the seed may be set in the environment as well. */
const RUNS = Number(process.env.GENTIANDOOR_MODEL_RUNS ?? 150);
const SEED = Number(process.env.GENTIANDOOR_MODEL_SEED ?? 20_261);
const MAXIMUM_COMMANDS = 60;

const REQUIRED_OBSERVATIONS = [
  'run',
  'finished',
  'lost',
  'released',
  'gone',
  'replayed',
  'key_in_progress',
  'key_outcome_unknown',
  'claim_unavailable, run: no',
  'claim_unavailable, run: unknown',
];

async function startFleet(scheduler: fc.Scheduler): Promise<ClaimsUnderTest> {
  const waitForStep = async (label: string) => {
    await scheduler.schedule(Promise.resolve(), label);
  };
  const fleet = new ClaimsFleet({waitForStep});
  const real: ClaimsUnderTest = {
    fleet,
    waitingStepCount: () => scheduler.count(),
    releaseOneStep: () => scheduler.waitOne(),
  };
  for (const [name, dataCentre] of DAEMON_PLACEMENTS)
    await runReleasingAllSteps(real, fleet.start(name, dataCentre));
  return real;
}

describe('claims over the log, checked against a model', () => {
  // Guards against keys that run twice, are blocked or get a wrong answer after faults of callers,
  // targets, the network and the platform, in any order and with a pause between any two steps of
  // a daemon. After recovery every key has to give its one correct answer.
  it('meet their guarantees in any order of steps and faults', async () => {
    const observed = new Set<string>();
    await fc.assert(
      fc.asyncProperty(
        fc.scheduler(),
        fc.commands([...CLAIMS_COMMANDS], {
          maxCommands: MAXIMUM_COMMANDS,
          size: 'max',
        }),
        async (scheduler, commands) => {
          const real = await startFleet(scheduler);
          const model = new KeyedRequestModel();
          try {
            await fc.asyncModelRun(async () => ({model, real}), commands);
            model.check();
            await checkAfterRecovery(model, real);
            model.check();
            for (const observation of model.observations())
              observed.add(observation);
          } finally {
            await runReleasingAllSteps(real, real.fleet.stopAll());
          }
        },
      ),
      {numRuns: RUNS, seed: SEED, includeErrorInReport: true},
    );
    // Runs that never reach these outcomes check nothing about them.
    for (const observation of REQUIRED_OBSERVATIONS)
      assert.ok(observed.has(observation), `never observed: ${observation}`);
  });
});

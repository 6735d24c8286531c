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

/** `npm run model` makes a longer run; a seed of one's own may be given with it. */
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
  const gate = async (label: string) => {
    await scheduler.schedule(Promise.resolve(), label);
  };
  const fleet = new ClaimsFleet({waitForStep: gate});
  const real: ClaimsUnderTest = {
    fleet,
    waitingStepCount: () => scheduler.count(),
    releaseOneStep: () => scheduler.waitOne(),
  };
  for (const [name, dataCentre] of DAEMON_PLACEMENTS)
    await runReleasingAllSteps(real, fleet.start(name, dataCentre));
  return real;
}

describe('claims over the log, run against their model', () => {
  // Callers, targets, the network and the platform do whatever they may, in any order, with
  // a pause between any two steps of a daemon. What callers hear is held against what ran;
  // at the end everything is mended and every key must give the one right answer.
  it('keeps its promises in any order of steps and faults', async () => {
    const met = new Set<string>();
    await fc.assert(
      fc.asyncProperty(
        fc.scheduler(),
        fc.commands([...CLAIMS_COMMANDS], {
          maxCommands: MAXIMUM_COMMANDS,
          size: 'max',
        }),
        async (scheduler, commands) => {
          const real = await startFleet(scheduler);
          const ledger = new KeyedRequestModel();
          try {
            await fc.asyncModelRun(
              async () => ({model: ledger, real}),
              commands,
            );
            ledger.check();
            await checkAfterRecovery(ledger, real);
            ledger.check();
            for (const said of ledger.observations()) met.add(said);
          } finally {
            await runReleasingAllSteps(real, real.fleet.stopAll());
          }
        },
      ),
      {numRuns: RUNS, seed: SEED, includeErrorInReport: true},
    );
    // Runs that never come to these say nothing of the promises about them.
    for (const said of REQUIRED_OBSERVATIONS)
      assert.ok(met.has(said), `never met: ${said}`);
  });
});

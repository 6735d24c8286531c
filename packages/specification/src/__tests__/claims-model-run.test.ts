import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {ClaimsFleet} from './claims-fleet.js';
import {
  CLAIMS_COMMANDS,
  FLEET_PLAN,
  checkAtRest,
  letAll,
  type RealClaims,
} from './claims-commands.js';
import {KeyLedger} from './key-ledger.js';

/** `npm run model` makes a longer run; a seed of one's own may be given with it. */
const RUNS = Number(process.env.GENTIANDOOR_MODEL_RUNS ?? 150);
const SEED = Number(process.env.GENTIANDOOR_MODEL_SEED ?? 20_261);
const MOST_COMMANDS = 60;

const TO_MEET = [
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

async function startFleet(scheduler: fc.Scheduler): Promise<RealClaims> {
  const gate = async (label: string) => {
    await scheduler.schedule(Promise.resolve(), label);
  };
  const fleet = new ClaimsFleet({gate});
  const real: RealClaims = {
    fleet,
    waitingSteps: () => scheduler.count(),
    letOneGo: () => scheduler.waitOne(),
  };
  for (const [name, dataCentre] of FLEET_PLAN)
    await letAll(real, fleet.start(name, dataCentre));
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
          maxCommands: MOST_COMMANDS,
          size: 'max',
        }),
        async (scheduler, commands) => {
          const real = await startFleet(scheduler);
          const ledger = new KeyLedger();
          try {
            await fc.asyncModelRun(
              async () => ({model: ledger, real}),
              commands,
            );
            ledger.check();
            await checkAtRest(ledger, real);
            ledger.check();
            for (const said of ledger.heard()) met.add(said);
          } finally {
            await letAll(real, real.fleet.end());
          }
        },
      ),
      {numRuns: RUNS, seed: SEED, includeErrorInReport: true},
    );
    // Runs that never come to these say nothing of the promises about them.
    for (const said of TO_MEET) assert.ok(met.has(said), `never met: ${said}`);
  });
});

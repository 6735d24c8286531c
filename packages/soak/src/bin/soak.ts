import {mkdtempSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import sade from 'sade';
import {Soak} from '../soak.js';
import {SMALL_PROFILE, deploymentProfile} from '../soak-profile.js';

interface Options {
  readonly seeds: number;
  readonly first: number;
  readonly daemons: number;
  readonly rounds: number;
  readonly workers: number;
  readonly restarting: boolean;
  readonly odd: boolean;
  readonly cancelling: boolean;
}

async function run(options: Options): Promise<void> {
  const folder = mkdtempSync(join(tmpdir(), 'soak-'));
  let failed = 0;
  for (let count = 0; count < Number(options.seeds); count++) {
    const seed = Number(options.first) + count;
    const result = await new Soak({
      seed,
      daemons: Number(options.daemons),
      rounds: Number(options.rounds),
      hasCancelling: options.cancelling,
      folder: join(folder, `seed-${seed}`),
      profile:
        Number(options.workers) > 0
          ? deploymentProfile(Number(options.workers), {
              reportsStart: options.restarting,
              hasOddElements: options.odd,
            })
          : SMALL_PROFILE,
    }).play();
    const verdict = result.violations.length === 0 ? 'held' : 'BROKEN';
    console.log(
      `seed ${seed}: ${verdict}; ${result.jobs} jobs, ${result.runs} runs, ${result.faults.length} faults`,
    );
    if (result.violations.length === 0) continue;
    failed++;
    for (const line of [...result.faults, ...result.violations])
      console.log(`  ${line}`);
  }
  console.log(`${failed} seeds broke a promise; logs in ${folder}`);
  process.exit(failed === 0 ? 0 : 1);
}

sade('soak', true)
  .describe('Real daemons under random faults; promises are checked.')
  .option('--seeds', 'How many seeds', 5)
  .option('--first', 'The first seed', Math.floor(Math.random() * 1e6))
  .option('--daemons', 'Daemons of each run', 3)
  .option('--rounds', 'Rounds of faults of each run', 25)
  .option(
    '--workers',
    'Workers of each service of a whole deployment; 0 for a small one',
    0,
  )
  .option('--restarting', 'Workers restart under their id', false)
  .option(
    '--odd',
    'Elements that can not be read or served, in a whole deployment',
    false,
  )
  .option(
    '--cancelling',
    'Callers that cancel before the answer and after they have left',
    false,
  )
  .action(run)
  .parse(process.argv);

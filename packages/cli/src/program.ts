import sade from 'sade';
import {addCommands, type CommandDefinition} from './command-registry.js';
import type {CommandContext} from './command-context.js';
import {accountCommands} from './commands/account.js';
import {bundleCommands} from './commands/bundle.js';
import {deploymentCommands} from './commands/deployment.js';
import {explainCommands} from './commands/explain.js';
import {maintenanceCommands, vmCommands} from './commands/fleet.js';
import {jobCommands} from './commands/jobs.js';
import {keyCommands} from './commands/keys.js';
import {topCommands} from './commands/top.js';
import {reportCommands} from './commands/report.js';
import {memberCommands} from './commands/members.js';
import {wavePlanCommands} from './commands/wave-plan.js';
import {statusCommands} from './commands/status.js';
import type {ExitCode} from './exit-codes.js';

const DEFAULT_ADMIN = '127.0.0.1:7900';

/** All commands, in the order of the help page. */
export const ALL_COMMANDS: readonly CommandDefinition[] = [
  ...statusCommands,
  ...topCommands,
  ...bundleCommands,
  ...vmCommands,
  ...maintenanceCommands,
  ...wavePlanCommands,
  ...memberCommands,
  ...jobCommands,
  ...explainCommands,
  ...accountCommands,
  ...keyCommands,
  ...reportCommands,
  ...deploymentCommands,
];

/** Runs the operators' command line with the process's `argv`; resolves with the exit code. */
export function runProgram(
  argv: string[],
  context: CommandContext,
): Promise<ExitCode> {
  return new Promise(resolve => {
    const program = sade('gentiandoor')
      .describe(
        'Drives a gentiandoor deployment through the admin port of any daemon.',
      )
      .option('--admin', 'Admin address of a daemon', DEFAULT_ADMIN)
      .option('--key', 'Admin key; by default from GENTIANDOOR_ADMIN_KEY')
      .option('--json', 'Print JSON');
    addCommands(program, ALL_COMMANDS, context, resolve);
    program.parse(argv);
  });
}

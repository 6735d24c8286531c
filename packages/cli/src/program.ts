import sade from 'sade';
import {toError} from '@gentiandoor/kernel';
import {AdminClient} from './admin-client.js';
import {CommandError} from './command-error.js';
import {ExitCode} from './exit-codes.js';

/** Options that every command takes. */
export interface CommonOptions {
  readonly admin: string;
  readonly key?: string;
  readonly json?: boolean;
}

/** Where a command writes. */
export type Output = (line: string) => void;

const DEFAULT_ADMIN = '127.0.0.1:7900';

/** The operators' command line; `argv` as from the process. Resolves with the exit code. */
export function runProgram(argv: string[], output: Output): Promise<ExitCode> {
  return new Promise(resolve => {
    const program = sade('gentiandoor')
      .option('--admin', 'Admin address of a daemon', DEFAULT_ADMIN)
      .option('--key', 'Admin key; by default from GENTIANDOOR_ADMIN_KEY')
      .option('--json', 'Print JSON');
    program
      .command('status')
      .describe('What a daemon has in force and sees.')
      .example('status --admin 127.0.0.1:7900 --json')
      .action((options: CommonOptions) => {
        void guard(showStatus(options, output)).then(resolve);
      });
    program.parse(argv);
  });
}

async function showStatus(
  options: CommonOptions,
  output: Output,
): Promise<void> {
  const key = options.key ?? process.env.GENTIANDOOR_ADMIN_KEY ?? '';
  const status = await new AdminClient(options.admin, key).get('/status');
  output(JSON.stringify(status, null, options.json ? 0 : 2));
}

async function guard(command: Promise<void>): Promise<ExitCode> {
  try {
    await command;
    return ExitCode.Done;
  } catch (thrown) {
    const error = toError(thrown);
    process.stderr.write(`gentiandoor: ${error.message}\n`);
    return error instanceof CommandError ? error.exitCode : ExitCode.Failed;
  }
}

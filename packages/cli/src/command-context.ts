import type {Clock} from '@gentiandoor/kernel';
import {AdminClient} from './admin-client.js';
import {CommandError} from './command-error.js';
import {ExitCode} from './exit-codes.js';

/** Options common to all commands. */
export interface CommonOptions {
  readonly admin: string;
  readonly key?: string;
  readonly json?: boolean;
}

/** Environment of a command: output, files, variables and clock; tests replace it. */
export interface CommandContext {
  /** Writes a line of the result to standard output. */
  readonly print: (line: string) => void;
  /** Writes a line about progress or an error to standard error. */
  readonly printDiagnostic: (line: string) => void;
  readonly readFile: (path: string) => string;
  readonly environment: Readonly<Record<string, string | undefined>>;
  readonly clock: Clock;
}

/** Environment variable with the admin key. */
export const ADMIN_KEY_VARIABLE = 'GENTIANDOOR_ADMIN_KEY';

/** Creates a client of the daemon that the options name; throws `CommandError` without a key. */
export function adminClient(
  context: CommandContext,
  options: CommonOptions,
): AdminClient {
  const key = options.key ?? context.environment[ADMIN_KEY_VARIABLE];
  if (key === undefined) {
    throw new CommandError(
      ExitCode.BadInput,
      `no admin key: set ${ADMIN_KEY_VARIABLE} or give --key`,
    );
  }
  return new AdminClient(options.admin, key);
}

/** Reads an input file; throws `CommandError` if it cannot be read. */
export function readInput(context: CommandContext, path: string): string {
  try {
    return context.readFile(path);
  } catch {
    throw new CommandError(
      ExitCode.BadInput,
      `cannot read ${path}: check the path`,
    );
  }
}

/** Prints `value` as JSON with `--json`, the lines otherwise. */
export function printResult(
  context: CommandContext,
  options: CommonOptions,
  value: unknown,
  lines: readonly string[],
): void {
  if (options.json) context.print(JSON.stringify(value));
  else for (const line of lines) context.print(line);
}

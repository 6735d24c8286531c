import type {Clock} from '@gentiandoor/kernel';
import {AdminClient} from './admin-client.js';
import {CommandError} from './command-error.js';
import {ExitCode} from './exit-codes.js';

/** Options that every command takes. */
export interface CommonOptions {
  readonly admin: string;
  readonly key?: string;
  readonly json?: boolean;
}

/** What commands use of the world; tests put their own in. */
export interface CommandContext {
  /** Writes a line of the result. */
  readonly print: (line: string) => void;
  /** Writes a line about progress or an error. */
  readonly printDiagnostic: (line: string) => void;
  readonly readFile: (path: string) => string;
  readonly environment: Readonly<Record<string, string | undefined>>;
  readonly clock: Clock;
}

/** Environment variable with the admin key. */
export const ADMIN_KEY_VARIABLE = 'GENTIANDOOR_ADMIN_KEY';

/** A client of the daemon that the options name. */
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

/** The text of an input file; throws `CommandError`. */
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

/** Prints JSON when asked for, the lines otherwise. */
export function printResult(
  context: CommandContext,
  options: CommonOptions,
  value: unknown,
  lines: readonly string[],
): void {
  if (options.json) context.print(JSON.stringify(value));
  else for (const line of lines) context.print(line);
}

import type {Sade} from 'sade';
import {toError} from '@gentiandoor/kernel';
import type {CommandContext} from './command-context.js';
import {CommandError} from './command-error.js';
import {ExitCode} from './exit-codes.js';

/** Definition of one command of the command line. */
export interface CommandDefinition {
  /** Name and arguments, such as `bundle check <file>`. */
  readonly usage: string;
  readonly description: string;
  /** Arguments of an example, without the program's name. */
  readonly examples: readonly string[];
  /** Options in addition to the common ones: flag, description, default. */
  readonly options?: ReadonlyArray<
    readonly [string, string, (string | number)?]
  >;
  /** Runs the command; throws `CommandError` on failure. The last argument holds the options. */
  run(context: CommandContext, ...args: never[]): Promise<void>;
}

/** Adds the commands to the program; `finish` receives the exit code of the command that runs. */
export function addCommands(
  program: Sade,
  commands: readonly CommandDefinition[],
  context: CommandContext,
  finish: (code: ExitCode) => void,
): void {
  for (const command of commands) {
    program.command(command.usage).describe(command.description);
    for (const [flag, description, defaultValue] of command.options ?? []) {
      program.option(flag, description, defaultValue);
    }
    for (const example of command.examples) program.example(example);
    program.action((...args: unknown[]) => {
      const execution = command.run(context, ...(args as never[]));
      void runToExitCode(execution, context).then(finish);
    });
  }
}

async function runToExitCode(
  execution: Promise<void>,
  context: CommandContext,
): Promise<ExitCode> {
  try {
    await execution;
    return ExitCode.Done;
  } catch (thrown) {
    const error = toError(thrown);
    context.printDiagnostic(`gentiandoor: ${error.message}`);
    return error instanceof CommandError ? error.exitCode : ExitCode.Failed;
  }
}

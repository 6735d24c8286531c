import type {Sade} from 'sade';
import {toError} from '@gentiandoor/kernel';
import type {CommandContext} from './command-context.js';
import {CommandError} from './command-error.js';
import {ExitCode} from './exit-codes.js';

/** One command of the command line. */
export interface CommandDefinition {
  /** Name and arguments, such as `bundle check <file>`. */
  readonly usage: string;
  readonly description: string;
  /** Arguments of an example, without the program's name. */
  readonly examples: readonly string[];
  /** Options besides the common ones: flag, description, default. */
  readonly options?: ReadonlyArray<
    readonly [string, string, (string | number)?]
  >;
  /** Runs the command; throws `CommandError`. The last argument holds the options. */
  run(context: CommandContext, ...words: never[]): Promise<void>;
}

/** Adds the commands to the program; `finish` gets the exit code of the one that runs. */
export function addCommands(
  program: Sade,
  commands: readonly CommandDefinition[],
  context: CommandContext,
  finish: (code: ExitCode) => void,
): void {
  for (const command of commands) {
    program.command(command.usage).describe(command.description);
    for (const [flag, description, fallback] of command.options ?? []) {
      program.option(flag, description, fallback);
    }
    for (const example of command.examples) program.example(example);
    program.action((...words: unknown[]) => {
      const running = command.run(context, ...(words as never[]));
      void runToExitCode(running, context).then(finish);
    });
  }
}

async function runToExitCode(
  running: Promise<void>,
  context: CommandContext,
): Promise<ExitCode> {
  try {
    await running;
    return ExitCode.Done;
  } catch (thrown) {
    const error = toError(thrown);
    context.printDiagnostic(`gentiandoor: ${error.message}`);
    return error instanceof CommandError ? error.exitCode : ExitCode.Failed;
  }
}

import type {PublishResult} from '@gentiandoor/plugin-admin';
import {
  printResult,
  type CommandContext,
  type CommonOptions,
} from './command-context.js';
import {CommandError} from './command-error.js';
import {ExitCode} from './exit-codes.js';

/** Prints the outcome of a published record; throws `CommandError` if the fold rejected it. */
export function printPublishResult(
  context: CommandContext,
  options: CommonOptions,
  result: PublishResult,
  successText: string,
): void {
  if (options.json) context.print(JSON.stringify(result));
  if (!result.accepted) {
    throw new CommandError(
      ExitCode.Refused,
      `refused (${result.reason ?? 'no reason'}): ${result.detail ?? ''}`,
    );
  }
  if (!options.json)
    printResult(context, options, result, [
      `${successText} at offset ${result.offset}`,
    ]);
}

import type {AcceptedBody} from '@gentiandoor/plugin-fleet';
import {
  adminClient,
  printResult,
  type CommandContext,
  type CommonOptions,
} from './command-context.js';
import {withProgress} from './with-progress.js';

const OPERATOR_VARIABLE = 'USER';

/** Sends an operator's record and prints its offset; throws `CommandError` if it is refused. */
export async function sendRecord(
  context: CommandContext,
  options: CommonOptions,
  path: string,
  body: object,
  successText: string,
): Promise<void> {
  const operator = context.environment[OPERATOR_VARIABLE];
  const response = (await withProgress(
    context,
    'waiting for the platform\u2019s log',
    adminClient(context, options).post(path, {...body, operator}),
  )) as AcceptedBody;
  printResult(context, options, response, [
    `${successText} at offset ${response.offset}`,
  ]);
}

import {z} from 'zod';
import {CommandError} from '../command-error.js';
import {ExitCode} from '../exit-codes.js';

const scenarioSchema = z.object({
  seed: z.number(),
  rows: z.array(
    z.object({label: z.string(), values: z.record(z.string(), z.number())}),
  ),
  checks: z.array(
    z.object({name: z.string(), passed: z.boolean(), detail: z.string()}),
  ),
});
const inputSchema = z.record(z.string(), scenarioSchema);

/** Result of one bench scenario, as `npm run bench -- --json FILE` writes it. */
export type ReportScenario = z.output<typeof scenarioSchema>;

/** Results by scenario name. */
export type ReportInput = z.output<typeof inputSchema>;

/** Parses bench results; throws a `CommandError` that names the invalid field. */
export function parseReportInput(text: string, path: string): ReportInput {
  const result = inputSchema.safeParse(parseJson(text, path));
  if (result.success) return result.data;
  const [issue] = result.error.issues;
  throw new CommandError(
    ExitCode.BadInput,
    `${path}: ${issue.path.join('.')}: ${issue.message}; expected what \`npm run bench -- --json FILE\` writes`,
  );
}

function parseJson(text: string, path: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    throw new CommandError(ExitCode.BadInput, `${path}: not JSON`);
  }
}

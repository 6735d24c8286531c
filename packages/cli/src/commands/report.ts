import {readFileSync, writeFileSync} from 'node:fs';
import {createRequire} from 'node:module';
import {dirname, join} from 'node:path';
import type {CommandDefinition} from '../command-registry.js';
import {
  readInput,
  type CommandContext,
  type CommonOptions,
} from '../command-context.js';
import {parseReportInput} from '../report/report-input.js';
import {reportPage} from '../report/report-page.js';

const CHART_PACKAGE = 'chart.js';
const CHART_SCRIPT = 'chart.umd.js';
const DEFAULT_OUTPUT = 'report.html';

interface ReportOptions extends CommonOptions {
  readonly output: string;
}

async function writeReport(
  context: CommandContext,
  file: string,
  options: ReportOptions,
): Promise<void> {
  const input = parseReportInput(readInput(context, file), file);
  const library = readFileSync(chartScriptPath(), 'utf8');
  writeFileSync(options.output, reportPage(input, library));
  context.print(`${options.output}: ${Object.keys(input).length} scenarios`);
}

/** The package exports modules only; its browser script lies beside its main file. */
function chartScriptPath(): string {
  const main = createRequire(import.meta.url).resolve(CHART_PACKAGE);
  return join(dirname(main), CHART_SCRIPT);
}

/** Commands that write reports. */
export const reportCommands: readonly CommandDefinition[] = [
  {
    usage: 'report <file>',
    description:
      'Writes a self-contained HTML page with plots from bench results.',
    examples: ['report results.json --output report.html'],
    options: [['--output', 'File to write', DEFAULT_OUTPUT]],
    run: writeReport,
  },
];

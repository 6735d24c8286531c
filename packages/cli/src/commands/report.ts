import {writeFileSync} from 'node:fs';
import type {CommandDefinition} from '../command-registry.js';
import {
  readInput,
  type CommandContext,
  type CommonOptions,
} from '../command-context.js';
import {readChartLibrary} from '../report/chart-library.js';
import {parseReportInput} from '../report/report-input.js';
import {renderReport} from '../report/report-page.js';

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
  writeFileSync(options.output, renderReport(input, readChartLibrary()));
  context.print(`${options.output}: ${Object.keys(input).length} scenarios`);
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

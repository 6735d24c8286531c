import {writeFileSync} from 'node:fs';
import {
  computeTimeBreakdown,
  timeBreakdownSections,
  type TimeBreakdownRow,
  type TimeBreakdown,
} from '../account/time-breakdown.js';
import {TimeCategory} from '../account/job-time-breakdown.js';
import {CommandError} from '../command-error.js';
import type {CommandDefinition} from '../command-registry.js';
import {ExitCode} from '../exit-codes.js';
import {formatColumns} from '../format-columns.js';
import {parseLogLines} from '../job-timeline.js';
import {readChartLibrary} from '../report/chart-library.js';
import {renderPage} from '../report/report-page.js';
import {
  readInput,
  printResult,
  type CommandContext,
  type CommonOptions,
} from '../command-context.js';

const PAGE_HEADING = {
  title: 'Where the time of jobs went',
  remark:
    'Means in milliseconds of a job from its intake to its end, by what it waited for; pools in VMs.',
};

interface AccountOptions extends CommonOptions {
  readonly page?: string;
}

async function account(
  context: CommandContext,
  path: string,
  options: AccountOptions,
): Promise<void> {
  const {lines, unreadable} = parseLogLines(readInput(context, path));
  const day = computeTimeBreakdown(lines);
  if (day.byQueue.length === 0)
    throw new CommandError(
      ExitCode.Failed,
      `no line in ${path} tells of a job from its intake to its end`,
    );
  if (options.page !== undefined) {
    writeFileSync(
      options.page,
      renderPage(PAGE_HEADING, timeBreakdownSections(day), readChartLibrary()),
    );
    context.printDiagnostic(`${options.page} written`);
  }
  printResult(context, options, day, [
    ...formatTables(day),
    ...formatRemarks(day, unreadable),
  ]);
}

function formatTables(day: TimeBreakdown): string[] {
  return [
    ...table('second of intake', day.bySecond),
    ...table('queue', day.byQueue),
    ...table('size', day.bySize),
    ...table('data centre', day.byDataCentre),
    ...(day.byOrganisation.length > 0
      ? table('organisation', day.byOrganisation)
      : []),
    ...poolTable(day),
  ];
}

/** Mean milliseconds of a job by use. */
function table(heading: string, rows: readonly TimeBreakdownRow[]): string[] {
  const uses = Object.values(TimeCategory);
  const cells = rows.map(row => [
    row.label,
    String(row.jobs),
    String(row.late),
    String(row.meanMilliseconds),
    ...uses.map(use => String(row.uses[use])),
  ]);
  return [
    ...formatColumns([heading, 'jobs', 'late', 'mean ms', ...uses], cells),
    '',
  ];
}

function poolTable(day: TimeBreakdown): string[] {
  if (day.pools.length === 0) return [];
  const fields = Object.keys(day.pools[0].values);
  const cells = day.pools.map(({label, values}) => [
    label,
    ...fields.map(field => String(values[field])),
  ]);
  return [...formatColumns(['pool', ...fields], cells), ''];
}

function formatRemarks(day: TimeBreakdown, unreadable: number): string[] {
  const remarks = Object.entries(day.refusals).map(
    ([answer, count]) => `${count} submissions answered as ${answer}`,
  );
  for (const [organisation, count] of Object.entries(
    day.refusalsByOrganisation,
  ))
    remarks.push(`${count} submissions of ${organisation} were not taken`);
  for (const [reason, count] of Object.entries(day.callsRefused))
    remarks.push(`${count} calls were not let in: ${reason}`);
  if (day.unfinished > 0)
    remarks.push(`${day.unfinished} jobs were taken and have no end here`);
  if (day.linesLeftOut > 0)
    remarks.push(
      `${day.linesLeftOut} lines were left out by the bound on the log: times may be missing`,
    );
  if (unreadable > 0)
    remarks.push(`${unreadable} lines of the input are no log lines`);
  return remarks;
}

/** Commands that add up a log. */
export const accountCommands: readonly CommandDefinition[] = [
  {
    usage: 'account <file>',
    description:
      'Adds up where the time of jobs went, from the log lines of all daemons of a deployment on the platform; a file, or - for standard input.',
    examples: ['account day.log', 'account day.log --page day.html'],
    options: [['--page', 'File for a self-contained HTML page with plots']],
    run: account,
  },
];

import {writeFileSync} from 'node:fs';
import {
  computeTimeBreakdown,
  timeBreakdownSections,
  type TimeBreakdownRow,
  type TimeBreakdown,
} from '../account/time-breakdown.js';
import {JobOutcome} from '../account/job-outcome.js';
import {TimeCategory} from '../account/job-time-breakdown.js';
import type {RefusalRow} from '../account/refusals.js';
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
  const breakdown = computeTimeBreakdown(lines);
  if (breakdown.byQueue.length === 0 && breakdown.refusalsBySecond.length === 0)
    throw new CommandError(
      ExitCode.Failed,
      `${path} has no accepted job and no refusal`,
    );
  if (options.page !== undefined) {
    writeFileSync(
      options.page,
      renderPage(
        PAGE_HEADING,
        timeBreakdownSections(breakdown),
        readChartLibrary(),
      ),
    );
    context.printDiagnostic(`${options.page} written`);
  }
  printResult(context, options, breakdown, [
    ...formatTables(breakdown),
    ...formatRemarks(breakdown, unreadable),
  ]);
}

function formatTables(breakdown: TimeBreakdown): string[] {
  return [
    ...table('second of intake', breakdown.bySecond),
    ...table('queue', breakdown.byQueue),
    ...table('size', breakdown.bySize),
    ...table('data centre', breakdown.byDataCentre),
    ...(breakdown.byOrganisation.length > 0
      ? table('organisation', breakdown.byOrganisation)
      : []),
    ...table('queue and data centre', breakdown.byQueueAndDataCentre),
    ...(breakdown.byQueueAndOrganisation.length > 0
      ? table('queue and organisation', breakdown.byQueueAndOrganisation)
      : []),
    ...refusalTable('refusals in second', breakdown.refusalsBySecond),
    ...refusalTable(
      'refusals by queue and organisation',
      breakdown.refusalsByQueueAndOrganisation,
    ),
    ...poolTable(breakdown),
  ];
}

/** Formats the mean milliseconds per job by category, and the number of jobs by outcome. */
function table(heading: string, rows: readonly TimeBreakdownRow[]): string[] {
  const categories = Object.values(TimeCategory);
  const outcomes = Object.values(JobOutcome);
  const cells = rows.map(row => [
    row.label,
    String(row.jobs),
    String(row.late),
    String(row.meanMilliseconds),
    ...categories.map(category => String(row.uses[category])),
    ...outcomes.map(outcome => String(row.outcomes[outcome])),
  ]);
  return [
    ...formatColumns(
      [heading, 'jobs', 'late', 'mean ms', ...categories, ...outcomes],
      cells,
    ),
    '',
  ];
}

function refusalTable(heading: string, rows: readonly RefusalRow[]): string[] {
  if (rows.length === 0) return [];
  const reasons = Object.keys(rows[0].refusals);
  const cells = rows.map(({label, refusals}) => [
    label,
    ...reasons.map(reason => String(refusals[reason])),
  ]);
  return [...formatColumns([heading, ...reasons], cells), ''];
}

function poolTable(breakdown: TimeBreakdown): string[] {
  if (breakdown.pools.length === 0) return [];
  const fields = Object.keys(breakdown.pools[0].values);
  const cells = breakdown.pools.map(({label, values}) => [
    label,
    ...fields.map(field => String(values[field])),
  ]);
  return [...formatColumns(['pool', ...fields], cells), ''];
}

function formatRemarks(breakdown: TimeBreakdown, unreadable: number): string[] {
  const remarks = Object.entries(breakdown.refusals).map(
    ([answer, count]) => `${count} submissions answered as ${answer}`,
  );
  for (const [organisation, count] of Object.entries(
    breakdown.refusalsByOrganisation,
  ))
    remarks.push(`${count} submissions of ${organisation} were not taken`);
  const {total, acceptedLater} = breakdown.refusedJobs;
  if (total > 0)
    remarks.push(
      `${total} jobs were not accepted at first, ${acceptedLater} of them were later`,
    );
  for (const [reason, count] of Object.entries(breakdown.callsRefused))
    remarks.push(`${count} calls were not let in: ${reason}`);
  for (const [reason, count] of Object.entries(breakdown.preemptions))
    remarks.push(`${count} runs were preempted: ${reason}`);
  if (breakdown.preemptedMilliseconds > 0)
    remarks.push(
      `${Math.round(breakdown.preemptedMilliseconds)} ms of work were lost by preemption`,
    );
  if (breakdown.unfinished > 0)
    remarks.push(
      `${breakdown.unfinished} jobs were taken and have no end here`,
    );
  if (breakdown.linesLeftOut > 0)
    remarks.push(
      `${breakdown.linesLeftOut} lines were left out by the bound on the log: times and jobs may be missing`,
    );
  if (unreadable > 0)
    remarks.push(`${unreadable} lines of the input are no log lines`);
  return remarks;
}

/** Commands that break down the time of jobs in a log. */
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

import {LogEvent, groupBy} from '@gentiandoor/kernel';
import {countDroppedLines, type LogLine} from '../job-timeline.js';
import type {PageSection} from '../report/report-page.js';
import {findInterruptions} from './interruptions.js';
import {
  TimeCategory,
  jobTimeBreakdowns,
  organisationIn,
  type JobTimeBreakdown,
} from './job-time-breakdown.js';

/** Jobs of one group: second of intake, queue, size or data centre. */
export interface TimeBreakdownRow {
  readonly label: string;
  readonly jobs: number;
  /** Jobs that took longer than their objective. */
  readonly late: number;
  /** Mean milliseconds of a job, in all and by use. */
  readonly meanMilliseconds: number;
  readonly uses: Readonly<Record<TimeCategory, number>>;
}

/** Pool as it stood in one span of the day, as means of what was logged. */
export interface PoolRow {
  readonly label: string;
  readonly values: Readonly<Record<string, number>>;
}

/** Where the time of all jobs of a log went. */
export interface TimeBreakdown {
  readonly bySecond: readonly TimeBreakdownRow[];
  readonly byQueue: readonly TimeBreakdownRow[];
  readonly bySize: readonly TimeBreakdownRow[];
  readonly byDataCentre: readonly TimeBreakdownRow[];
  /** Empty where no organisations are known. */
  readonly byOrganisation: readonly TimeBreakdownRow[];
  readonly pools: readonly PoolRow[];
  /** Submissions that were answered as refused or in doubt, by that answer. */
  readonly refusals: Readonly<Record<string, number>>;
  /** Calls that were not let in, by reason. */
  readonly callsRefused: Readonly<Record<string, number>>;
  /** Submissions of each organisation that were not taken. */
  readonly refusalsByOrganisation: Readonly<Record<string, number>>;
  /** Jobs that were taken and have no end in the log. */
  readonly unfinished: number;
  /** Lines that the daemons left out to bound the log. */
  readonly linesLeftOut: number;
}

/** Seconds of intake that make a row: queues' bursts last several. */
const SECONDS_PER_ROW = 2;
const MILLISECONDS_PER_SECOND = 1_000;
/** Upper bounds of the sizes that jobs are told apart by, in tasks. */
const SIZE_BOUNDS_TASKS = [4, 8, 16, 32];

/** What is told of a pool, by field of its log line. */
const POOL_FIELDS = [
  'usable',
  'arriving',
  'wanted',
  'usedVms',
  'waitingVms',
  'arrivingWorkVms',
];

/** Adds up where the time of jobs went, from the log lines of all daemons, oldest first. */
export function computeTimeBreakdown(lines: readonly LogLine[]): TimeBreakdown {
  const jobs = jobTimeBreakdowns(lines, findInterruptions(lines));
  const began = jobs.length > 0 ? jobs[0].takenAt : 0;
  const dataCentres = dataCentresOf(lines);
  const rowOfSecond = (time: number) =>
    secondLabel(Math.floor((time - began) / MILLISECONDS_PER_SECOND));
  return {
    bySecond: rowsBy(jobs, job => rowOfSecond(job.takenAt)),
    byQueue: rowsBy(jobs, job => job.queue),
    bySize: rowsBy(jobs, job => sizeLabel(job.tasks)),
    byDataCentre: rowsBy(jobs, job => dataCentres.get(job.node) ?? '?'),
    byOrganisation: rowsBy(
      jobs.filter(job => job.organisation !== undefined),
      job => job.organisation ?? '',
    ),
    pools: poolRows(lines, rowOfSecond),
    refusals: countBy(lines, LogEvent.JobRefused, ({fields}) =>
      String(fields.answer),
    ),
    callsRefused: countBy(lines, LogEvent.CallRefused, ({fields}) =>
      String(fields.reason),
    ),
    refusalsByOrganisation: countBy(lines, LogEvent.JobRefused, organisationIn),
    unfinished: countAcceptedJobs(lines) - jobs.length,
    linesLeftOut: countDroppedLines(lines),
  };
}

/** The account as sections of a page, by heading. */
export function timeBreakdownSections(
  account: TimeBreakdown,
): Readonly<Record<string, PageSection>> {
  const {bySecond, byQueue, bySize, byDataCentre, byOrganisation, pools} =
    account;
  return {
    'by second of intake': section(bySecond),
    'by queue': section(byQueue),
    'by size': section(bySize),
    'by data centre': section(byDataCentre),
    'by organisation': section(byOrganisation),
    pools: {rows: pools},
  };
}

function section(rows: readonly TimeBreakdownRow[]): PageSection {
  return {
    rows: rows.map(({label, jobs, late, meanMilliseconds, uses}) => ({
      label,
      values: {jobs, late, 'mean ms': meanMilliseconds, ...uses},
    })),
  };
}

function rowsBy(
  jobs: readonly JobTimeBreakdown[],
  labelOf: (job: JobTimeBreakdown) => string,
): TimeBreakdownRow[] {
  return [...groupBy(jobs, labelOf)]
    .map(([label, members]) => rowOf(label, members))
    .sort(byLabel);
}

function rowOf(
  label: string,
  jobs: readonly JobTimeBreakdown[],
): TimeBreakdownRow {
  const mean = (of: (job: JobTimeBreakdown) => number) =>
    Math.round(jobs.reduce((sum, job) => sum + of(job), 0) / jobs.length);
  const uses = Object.values(TimeCategory).map(
    use => [use, mean(job => job.millisecondsByCategory[use])] as const,
  );
  return {
    label,
    jobs: jobs.length,
    late: jobs.filter(job => job.isLate).length,
    meanMilliseconds: mean(job => job.endedAt - job.takenAt),
    uses: Object.fromEntries(uses) as Record<TimeCategory, number>,
  };
}

function byLabel(one: {label: string}, other: {label: string}): number {
  return one.label.localeCompare(other.label, undefined, {numeric: true});
}

function secondLabel(second: number): string {
  const from = Math.floor(second / SECONDS_PER_ROW) * SECONDS_PER_ROW;
  return `${from} s`;
}

function sizeLabel(tasks: number): string {
  const bound = SIZE_BOUNDS_TASKS.find(size => tasks <= size);
  return bound === undefined
    ? `over ${SIZE_BOUNDS_TASKS[SIZE_BOUNDS_TASKS.length - 1]} tasks`
    : `${bound} tasks at most`;
}

function dataCentresOf(lines: readonly LogLine[]): Map<string, string> {
  const found = new Map<string, string>();
  for (const {event, node, fields} of lines)
    if (event === LogEvent.DaemonStarted)
      found.set(node, String(fields.dataCentre));
  return found;
}

function poolRows(
  lines: readonly LogLine[],
  rowOfSecond: (time: number) => string,
): PoolRow[] {
  const sized = lines.filter(line => line.event === LogEvent.PoolSized);
  const labelOf = ({fields, time}: LogLine) =>
    `${String(fields.service)} ${rowOfSecond(time)}`;
  return [...groupBy(sized, labelOf)]
    .map(([label, members]) => ({
      label,
      values: Object.fromEntries(
        POOL_FIELDS.map(field => [field, meanOf(members, field)]),
      ),
    }))
    .sort(byLabel);
}

function meanOf(lines: readonly LogLine[], field: string): number {
  const sum = lines.reduce(
    (total, line) => total + (Number(line.fields[field]) || 0),
    0,
  );
  return Math.round((10 * sum) / lines.length) / 10;
}

/** Lines of an event by label; those without one are left out. */
function countBy(
  lines: readonly LogLine[],
  event: LogEvent,
  labelOf: (line: LogLine) => string | undefined,
): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const line of lines) {
    const label = line.event === event ? labelOf(line) : undefined;
    if (label !== undefined) counts[label] = (counts[label] ?? 0) + 1;
  }
  return counts;
}

function countAcceptedJobs(lines: readonly LogLine[]): number {
  const taken = lines
    .filter(line => line.event === LogEvent.JobTaken)
    .map(line => line.fields.job);
  return new Set(taken).size;
}

import {LogEvent, groupBy} from '@gentiandoor/kernel';
import {countDroppedLines, type LogLine} from '../job-timeline.js';
import {preemptionOf, type PreemptionLine} from '../preemption-line.js';
import type {PageSection} from '../report/report-page.js';
import {findInterruptions} from './interruptions.js';
import {JobOutcome, countOutcomes} from './job-outcome.js';
import {
  TimeCategory,
  jobTimeBreakdowns,
  type JobTimeBreakdown,
} from './job-time-breakdown.js';
import {organisationIn} from './log-line-fields.js';
import {
  countRefusedJobs,
  refusalsByQueueAndOrganisation,
  refusalsBySecond,
  type RefusalRow,
  type RefusedJobs,
} from './refusals.js';

/** Jobs of one group: second of intake, queue, size, data centre or organisation. */
export interface TimeBreakdownRow {
  readonly label: string;
  /** Number of jobs that have ended; the means are over these. */
  readonly jobs: number;
  /** Number of jobs that took longer than their objective. */
  readonly late: number;
  /** Number of accepted jobs by outcome. */
  readonly outcomes: Readonly<Record<JobOutcome, number>>;
  /** Mean milliseconds per job, in total; `uses` holds them by category. */
  readonly meanMilliseconds: number;
  readonly uses: Readonly<Record<TimeCategory, number>>;
}

/** State of a pool in one time span, as means of the logged values. */
export interface PoolRow {
  readonly label: string;
  readonly values: Readonly<Record<string, number>>;
}

/** Breakdown of the time of all jobs in a log. */
export interface TimeBreakdown {
  readonly bySecond: readonly TimeBreakdownRow[];
  readonly byQueue: readonly TimeBreakdownRow[];
  readonly bySize: readonly TimeBreakdownRow[];
  readonly byDataCentre: readonly TimeBreakdownRow[];
  /** Empty if no job names an organisation. */
  readonly byOrganisation: readonly TimeBreakdownRow[];
  readonly byQueueAndDataCentre: readonly TimeBreakdownRow[];
  /** Empty if no job names an organisation. */
  readonly byQueueAndOrganisation: readonly TimeBreakdownRow[];
  /** Refused submissions and calls by second, with their reasons. */
  readonly refusalsBySecond: readonly RefusalRow[];
  readonly refusalsByQueueAndOrganisation: readonly RefusalRow[];
  readonly refusedJobs: RefusedJobs;
  readonly pools: readonly PoolRow[];
  /** Number of submissions that were refused or had an unknown outcome, by response. */
  readonly refusals: Readonly<Record<string, number>>;
  /** Number of calls that were rejected, by reason. */
  readonly callsRefused: Readonly<Record<string, number>>;
  /** Number of submissions that were not accepted, by organisation. */
  readonly refusalsByOrganisation: Readonly<Record<string, number>>;
  /** Number of jobs that were accepted and have no end in the log. */
  readonly unfinished: number;
  /** Number of runs that were stopped in favour of other work, by reason. */
  readonly preemptions: Readonly<Record<string, number>>;
  /** Milliseconds of work that these runs lost. */
  readonly preemptedMilliseconds: number;
  /** Number of lines that the daemons dropped to limit the log volume. */
  readonly linesLeftOut: number;
}

/** Seconds of intake per row; bursts in a queue last several seconds. */
const SECONDS_PER_ROW = 2;
const MILLISECONDS_PER_SECOND = 1_000;
/** Upper bounds of the size groups of jobs, in tasks. */
const SIZE_BOUNDS_TASKS = [4, 8, 16, 32];

/** Fields of a pool's log line that are shown. */
const POOL_FIELDS = [
  'usable',
  'arriving',
  'wanted',
  'usedVms',
  'waitingVms',
  'arrivingWorkVms',
];

/** Computes the time breakdown from the log lines of all daemons, ordered oldest first. */
export function computeTimeBreakdown(lines: readonly LogLine[]): TimeBreakdown {
  const jobs = jobTimeBreakdowns(lines, findInterruptions(lines));
  const startedAt = startOf(lines);
  const dataCentres = dataCentresOf(lines);
  const dataCentreOf = ({node}: JobTimeBreakdown) =>
    dataCentres.get(node) ?? '?';
  const preemptions = lines.flatMap(line => preemptionOf(line) ?? []);
  const ofOrganisations = jobs.filter(job => job.organisation !== undefined);
  const secondOf = (time: number) =>
    Math.floor((time - startedAt) / MILLISECONDS_PER_SECOND);
  const rowOfSecond = (time: number) => secondLabel(secondOf(time));
  return {
    bySecond: rowsBy(jobs, job => rowOfSecond(job.takenAt)),
    byQueue: rowsBy(jobs, job => job.queue),
    bySize: rowsBy(jobs, sizeLabel),
    byDataCentre: rowsBy(jobs, dataCentreOf),
    byOrganisation: rowsBy(ofOrganisations, job => job.organisation ?? ''),
    byQueueAndDataCentre: rowsBy(
      jobs,
      job => `${job.queue} ${dataCentreOf(job)}`,
    ),
    byQueueAndOrganisation: rowsBy(
      ofOrganisations,
      job => `${job.queue} ${job.organisation ?? ''}`,
    ),
    refusalsBySecond: refusalsBySecond(lines, secondOf),
    refusalsByQueueAndOrganisation: refusalsByQueueAndOrganisation(lines),
    refusedJobs: countRefusedJobs(lines),
    pools: poolRows(lines, rowOfSecond),
    refusals: countBy(lines, LogEvent.JobRefused, ({fields}) =>
      String(fields.answer),
    ),
    callsRefused: countBy(lines, LogEvent.CallRefused, ({fields}) =>
      String(fields.reason),
    ),
    refusalsByOrganisation: countBy(lines, LogEvent.JobRefused, organisationIn),
    unfinished: countOutcomes(jobs)[JobOutcome.Unfinished],
    preemptions: countsByReason(preemptions),
    preemptedMilliseconds: preemptions.reduce(
      (sum, {lostCoreMilliseconds}) => sum + lostCoreMilliseconds,
      0,
    ),
    linesLeftOut: countDroppedLines(lines),
  };
}

/** Returns the breakdown as sections of a page, by heading. */
export function timeBreakdownSections(
  breakdown: TimeBreakdown,
): Readonly<Record<string, PageSection>> {
  const {bySecond, byQueue, bySize, byDataCentre, byOrganisation, pools} =
    breakdown;
  const {byQueueAndDataCentre, byQueueAndOrganisation} = breakdown;
  return {
    'by second of intake': section(bySecond),
    'by queue': section(byQueue),
    'by size': section(bySize),
    'by data centre': section(byDataCentre),
    'by organisation': section(byOrganisation),
    'by queue and data centre': section(byQueueAndDataCentre),
    'by queue and organisation': section(byQueueAndOrganisation),
    'refusals by second': refusalSection(breakdown.refusalsBySecond),
    'refusals by queue and organisation': refusalSection(
      breakdown.refusalsByQueueAndOrganisation,
    ),
    pools: {rows: pools},
  };
}

function section(rows: readonly TimeBreakdownRow[]): PageSection {
  return {
    rows: rows.map(({label, jobs, late, outcomes, meanMilliseconds, uses}) => ({
      label,
      values: {jobs, late, 'mean ms': meanMilliseconds, ...uses, ...outcomes},
    })),
  };
}

function refusalSection(rows: readonly RefusalRow[]): PageSection {
  return {rows: rows.map(({label, refusals}) => ({label, values: refusals}))};
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
  const outcomes = countOutcomes(jobs);
  const ended = jobs.filter(job => job.endedAt !== undefined);
  const mean = (millisecondsOf: (job: JobTimeBreakdown) => number) =>
    Math.round(
      ended.reduce((sum, job) => sum + millisecondsOf(job), 0) /
        Math.max(1, ended.length),
    );
  const meansByCategory = Object.values(TimeCategory).map(
    category =>
      [category, mean(job => job.millisecondsByCategory[category])] as const,
  );
  return {
    label,
    jobs: ended.length,
    late: outcomes[JobOutcome.Late] + outcomes[JobOutcome.Expired],
    outcomes,
    meanMilliseconds: mean(job => (job.endedAt ?? job.takenAt) - job.takenAt),
    uses: Object.fromEntries(meansByCategory) as Record<TimeCategory, number>,
  };
}

function byLabel(one: {label: string}, other: {label: string}): number {
  return one.label.localeCompare(other.label, undefined, {numeric: true});
}

function secondLabel(second: number): string {
  const from = Math.floor(second / SECONDS_PER_ROW) * SECONDS_PER_ROW;
  return `${from} s`;
}

/** An unfinished job may have tasks that were not ordered yet: its size is not known. */
function sizeLabel({tasks, endedAt}: JobTimeBreakdown): string {
  if (endedAt === undefined) return 'size not known';
  const upperBound = SIZE_BOUNDS_TASKS.find(size => tasks <= size);
  return upperBound === undefined
    ? `over ${SIZE_BOUNDS_TASKS[SIZE_BOUNDS_TASKS.length - 1]} tasks`
    : `${upperBound} tasks at most`;
}

/** Returns the time of the first submission that was accepted or refused. */
function startOf(lines: readonly LogLine[]): number {
  const first = lines.find(
    ({event}) => event === LogEvent.JobTaken || event === LogEvent.JobRefused,
  );
  return first?.time ?? 0;
}

function dataCentresOf(lines: readonly LogLine[]): Map<string, string> {
  const dataCentres = new Map<string, string>();
  for (const {event, node, fields} of lines)
    if (event === LogEvent.DaemonStarted)
      dataCentres.set(node, String(fields.dataCentre));
  return dataCentres;
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

/** Counts the lines of an event by label; lines without a label are not counted. */
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

function countsByReason(
  preemptions: readonly PreemptionLine[],
): Record<string, number> {
  return Object.fromEntries(
    [...groupBy(preemptions, ({reason}) => reason)].map(([reason, members]) => [
      reason,
      members.length,
    ]),
  );
}

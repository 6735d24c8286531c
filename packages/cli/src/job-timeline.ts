import {LogEvent} from '@gentiandoor/kernel';
import {preemptionOf, type PreemptionLine} from './preemption-line.js';
import {answerText, refusalBasisText} from './refusal-text.js';

/** A parsed line of a daemon's log. */
export interface LogLine {
  readonly time: number;
  readonly node: string;
  readonly event: LogEvent;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** Timeline of one job, from the logs of all daemons. */
export interface JobTimeline {
  readonly job: string;
  /** Events of the job, oldest first. */
  readonly steps: readonly TimelineEntry[];
  /** Longest intervals between events, longest first. */
  readonly gaps: readonly TimelineGap[];
  /** Number of lines that the daemons dropped during the job; some may be about the job. */
  readonly linesLeftOut: number;
  readonly unreadableLines: number;
}

/** One event of the timeline. */
export interface TimelineEntry {
  readonly time: number;
  readonly node: string;
  readonly text: string;
}

/** Interval between two consecutive events. */
export interface TimelineGap {
  readonly milliseconds: number;
  readonly text: string;
}

/** Shorter gaps are not reported, since an operator looks for lost seconds. */
const MINIMUM_GAP_MILLISECONDS = 250;
const MAXIMUM_GAPS = 5;
/** How long before the job events of the coordinator and the store are included. */
const CONTEXT_BEFORE_JOB_MILLISECONDS = 3_000;

type EventFormatter = (fields: Readonly<Record<string, unknown>>) => string;

/** Events that name a job or one of its tasks. */
const JOB_EVENT_FORMATTERS: Partial<Record<LogEvent, EventFormatter>> = {
  [LogEvent.JobTaken]: line =>
    `taken for queue ${fieldText(line, 'queue')}${organisationSuffix(line)}, answered after ${roundedField(line, 'milliseconds')} ms`,
  [LogEvent.JobRefused]: line =>
    `${answerText(fieldText(line, 'answer'))}${organisationSuffix(line)}, after ${roundedField(line, 'milliseconds')} ms${refusalBasisText(line)}`,
  [LogEvent.CallRefused]: line =>
    `${fieldText(line, 'method')} not let in, ${fieldText(line, 'reason')}: the configuration was ${roundedField(line, 'configurationAgeMilliseconds')} ms old`,
  [LogEvent.JobCancelAsked]: line =>
    `asked to cancel, told ${fieldText(line, 'answer')} (${fieldText(line, 'basis')}) on data ${roundedField(line, 'ageMilliseconds')} ms old`,
  [LogEvent.CallerLeft]: line =>
    `the caller left before the answer ${roundedField(line, 'status')} to its ${fieldText(line, 'method')}`,
  [LogEvent.JobEnded]: line => `the job is ${fieldText(line, 'state')}`,
  [LogEvent.RunOrdered]: line =>
    `task ${taskWithoutJob(line)} run ${roundedField(line, 'run')} ordered from worker ${fieldText(line, 'worker')} in term ${roundedField(line, 'term')}, stored after ${roundedField(line, 'storedAfterMilliseconds')} ms`,
  [LogEvent.RunEnded]: line =>
    `task ${taskWithoutJob(line)} run ${roundedField(line, 'run')} on ${fieldText(line, 'worker')}: ${fieldText(line, 'end')}, ${fieldText(line, 'effect')}`,
  [LogEvent.RunRefused]: line =>
    `task ${taskWithoutJob(line)} run ${roundedField(line, 'run')} refused by worker ${fieldText(line, 'worker')}: ${fieldText(line, 'refusal')}`,
  [LogEvent.RunStopped]: line =>
    `task ${taskWithoutJob(line)} run ${roundedField(line, 'run')} stopped on ${fieldText(line, 'worker')}: ${fieldText(line, 'reason')}`,
  [LogEvent.TaskGivenUp]: line =>
    `task ${taskWithoutJob(line)} given up: ${roundedField(line, 'crashes')} workers have crashed under it, ${roundedField(line, 'crashesAtStart')} at its start`,
  [LogEvent.RunStalled]: line =>
    `task ${taskWithoutJob(line)} run ${roundedField(line, 'run')} stood still at ${roundedField(line, 'percent')}% on ${fieldText(line, 'worker')} for ${roundedField(line, 'stillMilliseconds')} ms`,
};

/** Events that explain why any job waited. */
const DAEMON_EVENT_FORMATTERS: Partial<Record<LogEvent, EventFormatter>> = {
  [LogEvent.TermTaken]: line =>
    `this daemon is the coordinator, term ${roundedField(line, 'term')}`,
  [LogEvent.TermLost]: line =>
    `this daemon lost term ${roundedField(line, 'term')}: ${fieldText(line, 'reason')}`,
  [LogEvent.TermReleased]: line =>
    `this daemon gave term ${roundedField(line, 'term')} back`,
  [LogEvent.RecoveryFinished]: line =>
    `the coordinator had learned what runs after ${roundedField(line, 'milliseconds')} ms`,
  [LogEvent.StoreLost]: () => 'this daemon lost the store',
  [LogEvent.StoreBack]: line =>
    `this daemon reached the store again after ${roundedField(line, 'ageMilliseconds')} ms`,
};

/** Events about a worker, included if a run of the job was on it. */
const WORKER_EVENT_FORMATTERS: Partial<Record<LogEvent, EventFormatter>> = {
  [LogEvent.WorkerSilent]: line =>
    `worker ${fieldText(line, 'worker')} does not answer`,
  [LogEvent.WorkerBack]: line =>
    `worker ${fieldText(line, 'worker')} answers again after ${roundedField(line, 'silentMilliseconds')} ms`,
  [LogEvent.WorkerLeft]: line =>
    `worker ${fieldText(line, 'worker')} ${line.hasCrashed === true ? 'has crashed' : 'is over'}: ${fieldText(line, 'reason')}`,
  [LogEvent.WorkerLeaseOver]: line =>
    `nothing can run on worker ${fieldText(line, 'worker')} any more: its lease is over`,
  [LogEvent.WorkerSuspect]: line =>
    `worker ${fieldText(line, 'worker')} is a suspect: ${fieldText(line, 'reason')}`,
};

/** Returns the text of an event about a worker; undefined for another event. */
export function workerEventText(line: LogLine): string | undefined {
  return WORKER_EVENT_FORMATTERS[line.event]?.(line.fields);
}

/** Events about an organisation, included in the timelines of its jobs. */
const ORGANISATION_EVENT_FORMATTERS: Partial<Record<LogEvent, EventFormatter>> =
  {
    [LogEvent.OrganisationAtLimit]: line =>
      `more work of ${fieldText(line, 'organisation')} waits, since it would be over its limit`,
    [LogEvent.OrganisationOverEntitlement]: line =>
      `${fieldText(line, 'organisation')} submits more jobs than it is entitled to; the excess comes after the jobs of others`,
    [LogEvent.OrganisationWithinEntitlement]: line =>
      `${fieldText(line, 'organisation')} is within its entitlement again`,
  };

/** Parses log text with one JSON object per line; ignores any prefix of a line. */
export function parseLogLines(log: string): {
  readonly lines: readonly LogLine[];
  readonly unreadable: number;
} {
  const lines: LogLine[] = [];
  let unreadable = 0;
  for (const row of log.split('\n')) {
    const start = row.indexOf('{');
    if (start < 0) continue;
    const line = parseLogLine(row.slice(start));
    if (line) lines.push(line);
    else unreadable++;
  }
  lines.sort((left, right) => left.time - right.time);
  return {lines, unreadable};
}

/** Builds a job's timeline from the logs of all daemons; undefined if no line names the job. */
export function buildJobTimeline(
  log: string,
  job: string,
): JobTimeline | undefined {
  const {lines, unreadable} = parseLogLines(log);
  const jobLines = lines.filter(line => jobOf(line) === job);
  if (jobLines.length === 0) return undefined;
  const from = jobLines[0].time - CONTEXT_BEFORE_JOB_MILLISECONDS;
  const until = jobLines[jobLines.length - 1].time;
  const workers = new Set(jobLines.map(line => line.fields.worker));
  const owner = jobLines.find(line => line.fields.organisation !== undefined);
  const relevantLines = lines.filter(
    line => line.time >= from && line.time <= until && isRelevant(line),
  );
  function isRelevant(line: LogLine): boolean {
    const preemption = preemptionOf(line);
    if (preemption) return [preemption.job, preemption.forJob].includes(job);
    if (jobOf(line) === job)
      return JOB_EVENT_FORMATTERS[line.event] !== undefined;
    if (DAEMON_EVENT_FORMATTERS[line.event]) return true;
    if (ORGANISATION_EVENT_FORMATTERS[line.event])
      return line.fields.organisation === owner?.fields.organisation;
    const isWorker = WORKER_EVENT_FORMATTERS[line.event] !== undefined;
    return isWorker && workers.has(line.fields.worker);
  }
  return {
    job,
    steps: relevantLines.map(line => toTimelineEntry(line, job)),
    gaps: longestGaps(jobLines),
    linesLeftOut: countDroppedLines(
      lines.filter(line => line.time >= from && line.time <= until),
    ),
    unreadableLines: unreadable,
  };
}

function parseLogLine(row: string): LogLine | undefined {
  try {
    const fields = JSON.parse(row) as Record<string, unknown>;
    const {time, node, event} = fields;
    if (typeof time !== 'number' || typeof event !== 'number') return undefined;
    return {time, node: String(node), event, fields};
  } catch {
    // The caller counts unreadable lines and reports their number.
    return undefined;
  }
}

/** Returns the number of lines that the daemons reported as dropped to limit the log volume. */
export function countDroppedLines(lines: readonly LogLine[]): number {
  return lines
    .filter(line => line.event === LogEvent.LinesLeftOut)
    .reduce((sum, line) => sum + (Number(line.fields.count) || 0), 0);
}

/** Returns the job that a line names, directly or through one of its tasks. */
export function jobOf(line: LogLine): string | undefined {
  const {job, task} = line.fields;
  if (typeof job === 'string') return job;
  return typeof task === 'string' ? task.split('.')[0] : undefined;
}

function toTimelineEntry(line: LogLine, job: string): TimelineEntry {
  const {time, node} = line;
  const preemption = preemptionOf(line);
  if (preemption) return {time, node, text: preemptionText(preemption, job)};
  const formatter =
    JOB_EVENT_FORMATTERS[line.event] ??
    DAEMON_EVENT_FORMATTERS[line.event] ??
    ORGANISATION_EVENT_FORMATTERS[line.event] ??
    WORKER_EVENT_FORMATTERS[line.event];
  const text = formatter?.(line.fields) ?? LogEvent[line.event];
  return {time, node, text};
}

/** Describes a preemption in the timeline of `job`, which was preempted or gained by it. */
function preemptionText(preemption: PreemptionLine, job: string): string {
  const {task, worker, forJob, reason, lostCoreMilliseconds} = preemption;
  const cost = `${reason}, ${Math.round(lostCoreMilliseconds)} core-milliseconds of work lost`;
  return preemption.job === job
    ? `task ${taskWithoutJob({task})} preempted on worker ${worker} for job ${forJob}: ${cost}`
    : `task ${task} of another job preempted on worker ${worker} for this job: ${cost}`;
}

/** Returns the longest intervals without an event of the job, with an explanation of each. */
function longestGaps(jobLines: readonly LogLine[]): TimelineGap[] {
  const gaps: TimelineGap[] = [];
  for (let index = 1; index < jobLines.length; index++) {
    const milliseconds = jobLines[index].time - jobLines[index - 1].time;
    if (milliseconds < MINIMUM_GAP_MILLISECONDS) continue;
    const before = eventName(jobLines[index - 1]);
    const after = eventName(jobLines[index]);
    gaps.push({milliseconds, text: explainGap(before, after)});
  }
  gaps.sort((left, right) => right.milliseconds - left.milliseconds);
  return gaps.slice(0, MAXIMUM_GAPS);
}

/** Returns the name of a line's event, which this version may not know. */
function eventName({event, fields}: LogLine): string {
  return LogEvent[event] ?? String(fields.msg ?? event);
}

function explainGap(before: string, after: string): string {
  const isRetry = before === 'JobRefused' && SUBMISSION_EVENTS.has(after);
  const meaning = isRetry
    ? 'its caller had not tried again yet'
    : (GAP_EXPLANATIONS[after] ?? 'no event was logged');
  return `from ${before} to ${after}: ${meaning}`;
}

const SUBMISSION_EVENTS: ReadonlySet<string> = new Set([
  'JobTaken',
  'JobRefused',
]);

/** What a job may have waited for before an event. */
const GAP_EXPLANATIONS: Readonly<Record<string, string>> = {
  RunOrdered: 'it waited for room, an earlier step or a coordinator',
  RunEnded: 'a task ran, or its worker was not heard of',
  RunStalled: 'a task stood still on its worker',
  RunRefused: 'an order was on its way to the worker',
  JobEnded: 'the last end was on its way to the store',
};

/** Returns the organisation that a line names as a suffix of its text; empty without one. */
function organisationSuffix(fields: Readonly<Record<string, unknown>>): string {
  return fields.organisation === undefined
    ? ''
    : ` of ${fieldText(fields, 'organisation')}`;
}

function fieldText(
  fields: Readonly<Record<string, unknown>>,
  name: string,
): string {
  return fields[name] === undefined ? '?' : String(fields[name]);
}

function roundedField(
  fields: Readonly<Record<string, unknown>>,
  name: string,
): string {
  const value = Number(fields[name]);
  return Number.isFinite(value) ? String(Math.round(value)) : '?';
}

/** Returns a task's name without the prefix of its job. */
function taskWithoutJob(fields: Readonly<Record<string, unknown>>): string {
  const name = fieldText(fields, 'task');
  return name.slice(name.indexOf('.') + 1);
}

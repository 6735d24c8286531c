import {LogEvent} from '@gentiandoor/kernel';

/** A line of a daemon's log. */
export interface LogLine {
  readonly time: number;
  readonly node: string;
  readonly event: LogEvent;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** What the logs of all daemons tell of one job. */
export interface LogStory {
  readonly job: string;
  /** What happened, oldest first. */
  readonly steps: readonly StoryStep[];
  /** What its time went to, the longest first. */
  readonly gaps: readonly StoryGap[];
  /** Lines that the daemons left out while the job was under way: its own may be among them. */
  readonly linesLeftOut: number;
  readonly unreadableLines: number;
}

/** One thing that happened. */
export interface StoryStep {
  readonly time: number;
  readonly node: string;
  readonly text: string;
}

/** Time between two things that happened. */
export interface StoryGap {
  readonly milliseconds: number;
  readonly text: string;
}

/** Gaps under this say nothing to a person who looks for seconds. */
const LEAST_GAP_MILLISECONDS = 250;
const MOST_GAPS = 5;
/** The coordinator's and the store's troubles are told from this long before the job. */
const LEAD_MILLISECONDS = 3_000;

type Teller = (fields: Readonly<Record<string, unknown>>) => string;

/** Events that name a job or one of its tasks. */
const JOB_EVENTS: Partial<Record<LogEvent, Teller>> = {
  [LogEvent.JobTaken]: line =>
    `taken for queue ${text(line, 'queue')}${ownerIn(line)}, answered after ${whole(line, 'milliseconds')} ms`,
  [LogEvent.JobRefused]: line =>
    `${REFUSALS[text(line, 'answer')] ?? text(line, 'answer')}${ownerIn(line)}, after ${whole(line, 'milliseconds')} ms`,
  [LogEvent.CallRefused]: line =>
    `${text(line, 'method')} not let in, ${text(line, 'reason')}: the configuration was ${whole(line, 'configurationAgeMilliseconds')} ms old`,
  [LogEvent.JobCancelAsked]: line =>
    `asked to cancel: ${text(line, 'outcome')}`,
  [LogEvent.JobEnded]: line => `the job is ${text(line, 'state')}`,
  [LogEvent.RunOrdered]: line =>
    `task ${taskOf(line)} run ${whole(line, 'run')} ordered from worker ${text(line, 'worker')} in term ${whole(line, 'term')}, stored after ${whole(line, 'storedAfterMilliseconds')} ms`,
  [LogEvent.RunEnded]: line =>
    `task ${taskOf(line)} run ${whole(line, 'run')} on ${text(line, 'worker')}: ${text(line, 'end')}, ${text(line, 'effect')}`,
  [LogEvent.RunRefused]: line =>
    `task ${taskOf(line)} run ${whole(line, 'run')} refused by worker ${text(line, 'worker')}: ${text(line, 'refusal')}`,
  [LogEvent.RunStopped]: line =>
    `task ${taskOf(line)} run ${whole(line, 'run')} stopped on ${text(line, 'worker')}: ${text(line, 'reason')}`,
  [LogEvent.TaskGivenUp]: line =>
    `task ${taskOf(line)} given up: ${whole(line, 'crashes')} workers have crashed under it, ${whole(line, 'crashesAtStart')} at its start`,
  [LogEvent.RunStalled]: line =>
    `task ${taskOf(line)} run ${whole(line, 'run')} stood still at ${whole(line, 'percent')}% on ${text(line, 'worker')} for ${whole(line, 'stillMilliseconds')} ms`,
};

/** What a submission that was not taken was answered. */
const REFUSALS: Readonly<Record<string, string>> = {
  refused: 'refused: the store had done nothing, the job never runs',
  unknown: 'answered as in doubt: the store may have taken it',
  over_limit:
    'refused: it asks for more at once than its organisation may ever have',
  id_in_use: 'refused: its id is that of another job',
};

/** Events that explain why a job waited, whichever job it is. */
const SURROUNDINGS: Partial<Record<LogEvent, Teller>> = {
  [LogEvent.TermTaken]: line =>
    `this daemon is the coordinator, term ${whole(line, 'term')}`,
  [LogEvent.TermLost]: line =>
    `this daemon lost term ${whole(line, 'term')}: ${text(line, 'reason')}`,
  [LogEvent.TermReleased]: line =>
    `this daemon gave term ${whole(line, 'term')} back`,
  [LogEvent.RecoveryFinished]: line =>
    `the coordinator had learned what runs after ${whole(line, 'milliseconds')} ms`,
  [LogEvent.StoreLost]: () => 'this daemon lost the store',
  [LogEvent.StoreBack]: line =>
    `this daemon reached the store again after ${whole(line, 'ageMilliseconds')} ms`,
};

/** Events about a worker, told where a run of the job was on it. */
const WORKER_EVENTS: Partial<Record<LogEvent, Teller>> = {
  [LogEvent.WorkerSilent]: line =>
    `worker ${text(line, 'worker')} does not answer`,
  [LogEvent.WorkerBack]: line =>
    `worker ${text(line, 'worker')} answers again after ${whole(line, 'silentMilliseconds')} ms`,
  [LogEvent.WorkerLeft]: line =>
    `worker ${text(line, 'worker')} ${line.hasCrashed === true ? 'has crashed' : 'is over'}: ${text(line, 'reason')}`,
  [LogEvent.WorkerLeaseOver]: line =>
    `nothing can run on worker ${text(line, 'worker')} any more: its lease is over`,
  [LogEvent.WorkerSuspect]: line =>
    `worker ${text(line, 'worker')} is a suspect: ${text(line, 'reason')}`,
};

/** Events about an organisation, told to its own jobs. */
const ORGANISATION_EVENTS: Partial<Record<LogEvent, Teller>> = {
  [LogEvent.OrganisationAtLimit]: line =>
    `more work of ${text(line, 'organisation')} waits, since it would be over its limit`,
};

/** Reads log text: one JSON object a line, with anything before it left out. */
export function readLogLines(log: string): {
  readonly lines: readonly LogLine[];
  readonly unreadable: number;
} {
  const lines: LogLine[] = [];
  let unreadable = 0;
  for (const row of log.split('\n')) {
    const start = row.indexOf('{');
    if (start < 0) continue;
    const line = readLine(row.slice(start));
    if (line) lines.push(line);
    else unreadable++;
  }
  lines.sort((left, right) => left.time - right.time);
  return {lines, unreadable};
}

/** Tells what the logs of all daemons say of a job; undefined when they do not name it. */
export function storyOfJob(log: string, job: string): LogStory | undefined {
  const {lines, unreadable} = readLogLines(log);
  const own = lines.filter(line => jobOf(line) === job);
  if (own.length === 0) return undefined;
  const from = own[0].time - LEAD_MILLISECONDS;
  const until = own[own.length - 1].time;
  const workers = new Set(own.map(line => line.fields.worker));
  const owner = own.find(line => line.fields.organisation !== undefined);
  const told = lines.filter(
    line => line.time >= from && line.time <= until && isTold(line),
  );
  function isTold(line: LogLine): boolean {
    if (jobOf(line) === job) return JOB_EVENTS[line.event] !== undefined;
    if (SURROUNDINGS[line.event]) return true;
    if (ORGANISATION_EVENTS[line.event])
      return line.fields.organisation === owner?.fields.organisation;
    const isWorker = WORKER_EVENTS[line.event] !== undefined;
    return isWorker && workers.has(line.fields.worker);
  }
  return {
    job,
    steps: told.map(stepOf),
    gaps: longestGaps(own),
    linesLeftOut: countLeftOut(
      lines.filter(line => line.time >= from && line.time <= until),
    ),
    unreadableLines: unreadable,
  };
}

function readLine(row: string): LogLine | undefined {
  try {
    const fields = JSON.parse(row) as Record<string, unknown>;
    const {time, node, event} = fields;
    if (typeof time !== 'number' || typeof event !== 'number') return undefined;
    return {time, node: String(node), event, fields};
  } catch {
    // Counted by the caller, which tells the reader of it.
    return undefined;
  }
}

/** Lines that the daemons left out to bound the log, as they told. */
export function countLeftOut(lines: readonly LogLine[]): number {
  return lines
    .filter(line => line.event === LogEvent.LinesLeftOut)
    .reduce((sum, line) => sum + (Number(line.fields.count) || 0), 0);
}

/** The job that a line names, itself or by one of its tasks. */
export function jobOf(line: LogLine): string | undefined {
  const {job, task} = line.fields;
  if (typeof job === 'string') return job;
  return typeof task === 'string' ? task.split('.')[0] : undefined;
}

function stepOf(line: LogLine): StoryStep {
  const teller =
    JOB_EVENTS[line.event] ??
    SURROUNDINGS[line.event] ??
    ORGANISATION_EVENTS[line.event] ??
    WORKER_EVENTS[line.event];
  const told = teller?.(line.fields) ?? LogEvent[line.event];
  return {time: line.time, node: line.node, text: told};
}

/** The longest times in which nothing happened to the job, with what ended them. */
function longestGaps(own: readonly LogLine[]): StoryGap[] {
  const gaps: StoryGap[] = [];
  for (let index = 1; index < own.length; index++) {
    const milliseconds = own[index].time - own[index - 1].time;
    if (milliseconds < LEAST_GAP_MILLISECONDS) continue;
    const before = LogEvent[own[index - 1].event];
    const after = LogEvent[own[index].event];
    gaps.push({milliseconds, text: meaningOf(before, after)});
  }
  gaps.sort((left, right) => right.milliseconds - left.milliseconds);
  return gaps.slice(0, MOST_GAPS);
}

function meaningOf(before: string, after: string): string {
  const meaning = MEANINGS[after] ?? 'nothing was noted';
  return `from ${before} to ${after}: ${meaning}`;
}

/** What a job waits for before an event. */
const MEANINGS: Readonly<Record<string, string>> = {
  RunOrdered: 'it waited for room, an earlier step or a coordinator',
  RunEnded: 'a task ran, or its worker was not heard of',
  RunStalled: 'a task stood still on its worker',
  RunRefused: 'an order was under way',
  JobEnded: 'the last end was on its way to the store',
};

/** The organisation that a line names, in words. */
function ownerIn(fields: Readonly<Record<string, unknown>>): string {
  return fields.organisation === undefined
    ? ''
    : ` of ${text(fields, 'organisation')}`;
}

function text(fields: Readonly<Record<string, unknown>>, name: string): string {
  return fields[name] === undefined ? '?' : String(fields[name]);
}

function whole(
  fields: Readonly<Record<string, unknown>>,
  name: string,
): string {
  const value = Number(fields[name]);
  return Number.isFinite(value) ? String(Math.round(value)) : '?';
}

/** A task's name without its job's. */
function taskOf(fields: Readonly<Record<string, unknown>>): string {
  const name = text(fields, 'task');
  return name.slice(name.indexOf('.') + 1);
}

import {createHash} from 'node:crypto';
import {callerScope, type Caller} from '@gentiandoor/organisations';
import {JobState, isFinal, type JobSubmission} from './job.js';
import {type JobProgress, type TaskProgress} from './job-progress.js';
import {readSubmission} from './stored-submission.js';

/**
 * Kinds of records about a job. Each kind has its own key, so that a record of one kind
 * never replaces one of another.
 */
export enum JobRecordKind {
  Submission = 'submission',
  Cancellation = 'cancellation',
  Progress = 'progress',
  /** A cancellation of an id of which the log contained no submission. */
  EarlyCancellation = 'early_cancellation',
}

/** Kinds of which a job has one record at most. */
type KindOfOneRecord = Exclude<JobRecordKind, JobRecordKind.EarlyCancellation>;

/** A record about a job. */
export type JobRecord =
  | {readonly kind: JobRecordKind.Submission; readonly job: JobSubmission}
  | {readonly kind: JobRecordKind.Cancellation; readonly jobId: string}
  | {
      readonly kind: JobRecordKind.Progress;
      readonly jobId: string;
      readonly progress: JobProgress;
    }
  | {
      readonly kind: JobRecordKind.EarlyCancellation;
      readonly jobId: string;
      /** Who cancelled the id, which decides about the jobs that it applies to. */
      readonly caller: Caller;
    };

/** A record as the log stores it, which keeps the newest value of each key. */
export interface KeyedRecord {
  readonly key: string;
  /** Undefined removes the key. */
  readonly value: Buffer | undefined;
}

const KEY_PREFIXES: Readonly<Record<JobRecordKind, string>> = {
  [JobRecordKind.Submission]: 'j/',
  [JobRecordKind.Cancellation]: 'c/',
  [JobRecordKind.Progress]: 'p/',
  [JobRecordKind.EarlyCancellation]: 'e/',
};

/** Separates the id in the key of an early cancellation from who may access the same jobs. */
const SCOPE_SEPARATOR = '/';
const SCOPE_DIGEST_CHARACTERS = 16;

/** Phase of a task as it is stored. */
enum PackedPhase {
  Open = 0,
  Done = 1,
  /** Its latest run may be alive, and the order of that run was carried out. */
  Started = 2,
}

/** Added to the term that ordered the latest run of an open task, in the place of its phase. */
const ORDERED_IN_TERM_BASE = 10;

/**
 * Stored form of a task's progress: key, run, phase or the term that ordered its run, failed runs, checkpoint, worker, crashes,
 * preemptions, and 1 if the order was carried out and the phase does not say so. The last entries
 * are omitted if they and all entries after them are empty. Each start and end writes all tasks of
 * its job, and every daemon reads them.
 */
type PackedTask = [
  string,
  number,
  number,
  number[],
  string,
  string,
  [number, number]?,
  number?,
  number?,
];

/** Returns the key of the record of `kind` about `jobId`. */
export function jobRecordKey(kind: KindOfOneRecord, jobId: string): string {
  return KEY_PREFIXES[kind] + jobId;
}

/** How the progress of a job is encoded. */
export interface ProgressEncoding {
  /** Checkpoints are of any length; without them, tasks start anew after a change of coordinator. */
  readonly withoutCheckpoints?: boolean;
}

/** Encodes a record for the log. */
export function encodeJobRecord(
  record: JobRecord,
  encoding: ProgressEncoding = {},
): KeyedRecord {
  switch (record.kind) {
    case JobRecordKind.Submission:
      return keyed(record.kind, record.job.id, record.job);
    case JobRecordKind.Cancellation:
      return keyed(record.kind, record.jobId, {});
    case JobRecordKind.Progress:
      return keyed(
        record.kind,
        record.jobId,
        packProgress(record.progress, encoding),
      );
    case JobRecordKind.EarlyCancellation:
      return keyed(record.kind, earlyCancellationName(record), record.caller);
  }
}

/**
 * Names an early cancellation by its job and by who may access the same jobs, so that callers
 * without access never replace each other's.
 */
function earlyCancellationName({
  jobId,
  caller,
}: {
  readonly jobId: string;
  readonly caller: Caller;
}): string {
  const digest = createHash('sha256').update(callerScope(caller)).digest('hex');
  return jobId + SCOPE_SEPARATOR + digest.slice(0, SCOPE_DIGEST_CHARACTERS);
}

/**
 * Returns the records that remove everything about a job, grouped by the stream that
 * contains them.
 */
export function jobRecordTombstones(jobId: string): {
  readonly progress: KeyedRecord;
  readonly submission: readonly KeyedRecord[];
} {
  const tombstone = (kind: KindOfOneRecord): KeyedRecord => ({
    key: jobRecordKey(kind, jobId),
    value: undefined,
  });
  return {
    progress: tombstone(JobRecordKind.Progress),
    submission: [
      tombstone(JobRecordKind.Submission),
      tombstone(JobRecordKind.Cancellation),
    ],
  };
}

/**
 * Returns the kind and job that a key of the job log names; undefined for a key of
 * another kind.
 */
export function parseJobRecordKey(
  key: string,
): {readonly kind: JobRecordKind; readonly jobId: string} | undefined {
  for (const kind of Object.values(JobRecordKind)) {
    const prefix = KEY_PREFIXES[kind];
    if (!key.startsWith(prefix)) continue;
    const name = key.slice(prefix.length);
    if (kind !== JobRecordKind.EarlyCancellation) return {kind, jobId: name};
    const end = name.lastIndexOf(SCOPE_SEPARATOR);
    return end < 0 ? undefined : {kind, jobId: name.slice(0, end)};
  }
  return undefined;
}

/** Decodes a record; throws if its bytes are not a valid job record. */
export function decodeJobRecord(
  kind: JobRecordKind,
  jobId: string,
  value: Buffer,
): JobRecord {
  const parsed: unknown = JSON.parse(value.toString('utf8'));
  if (typeof parsed !== 'object' || parsed === null)
    throw new Error(`record of job ${jobId} is not an object`);
  switch (kind) {
    case JobRecordKind.Submission:
      return {kind, job: readSubmission(jobId, parsed as JobSubmission)};
    case JobRecordKind.Cancellation:
      return {kind, jobId};
    case JobRecordKind.Progress:
      return {kind, jobId, progress: unpackProgress(jobId, parsed)};
    case JobRecordKind.EarlyCancellation:
      return {kind, jobId, caller: readCaller(jobId, parsed)};
  }
}

function readCaller(jobId: string, parsed: Partial<Caller>): Caller {
  const {organisation, queue, isPublicQueue} = parsed;
  const isReadable =
    typeof queue === 'string' &&
    typeof isPublicQueue === 'boolean' &&
    (organisation === undefined || typeof organisation === 'string');
  if (!isReadable)
    throw new Error(`cancellation of job ${jobId} does not tell its caller`);
  return {organisation, queue, isPublicQueue};
}

function keyed(kind: JobRecordKind, name: string, value: unknown): KeyedRecord {
  return {
    key: KEY_PREFIXES[kind] + name,
    value: Buffer.from(JSON.stringify(value)),
  };
}

/**
 * Of a job that has ended, records only runs that may still be alive. A hundred daemons
 * read every record, and after a gap in the store's history each of them reads all jobs
 * of the last minutes at once.
 */
function packProgress(
  {state, tasks}: JobProgress,
  {withoutCheckpoints = false}: ProgressEncoding,
): unknown {
  const recorded = [...tasks].filter(
    ([, task]) => !isFinal(state) || task.worker !== '',
  );
  return {
    state,
    tasks: recorded.map(([key, task]) =>
      packTask([key, withoutCheckpoints ? {...task, checkpoint: ''} : task]),
    ),
  };
}

function packTask([key, task]: [string, TaskProgress]): PackedTask {
  const {run, worker, crashes, preemptions} = task;
  const phase = phaseOf(task);
  // Nothing of its runs is read any more once a task is done.
  const failedRuns = task.done ? [] : task.failedRuns;
  const checkpoint = task.done ? '' : task.checkpoint;
  const packed: PackedTask = [key, run, phase, failedRuns, checkpoint, worker];
  const isStarted = hasStarted(task) && phase !== PackedPhase.Started;
  if (crashes.total > 0 || preemptions > 0 || isStarted)
    packed.push([crashes.total, crashes.atStart]);
  if (preemptions > 0 || isStarted) packed.push(preemptions);
  if (isStarted) packed.push(1);
  return packed;
}

function phaseOf(task: TaskProgress): number {
  if (task.done) return PackedPhase.Done;
  if (hasStarted(task)) return PackedPhase.Started;
  const {orderedInTerm, worker} = task;
  return orderedInTerm === undefined || worker === ''
    ? PackedPhase.Open
    : ORDERED_IN_TERM_BASE + orderedInTerm;
}

function hasStarted({isStartExecuted, worker}: TaskProgress): boolean {
  return isStartExecuted && worker !== '';
}

function unpackProgress(jobId: string, packed: object): JobProgress {
  const {state, tasks} = packed as {state?: JobState; tasks?: PackedTask[]};
  if (state === undefined || !Object.values(JobState).includes(state))
    throw new Error(`progress of job ${jobId} has a missing or unknown state`);
  if (!Array.isArray(tasks))
    throw new Error(`progress of job ${jobId} has no list of tasks`);
  return {state, tasks: new Map(tasks.map(unpackTask))};
}

function unpackTask(packed: PackedTask): [string, TaskProgress] {
  const [key, run, phase, failedRuns, checkpoint, worker] = packed;
  const [, , , , , , crashed, preemptions = 0, executed] = packed;
  const [total, atStart] = crashed ?? [0, 0];
  return [
    key,
    {
      run,
      done: phase === PackedPhase.Done,
      failedRuns: [...failedRuns],
      crashes: {total, atStart},
      preemptions,
      checkpoint,
      worker,
      isStartExecuted: phase === PackedPhase.Started || executed === 1,
      orderedInTerm:
        phase >= ORDERED_IN_TERM_BASE
          ? phase - ORDERED_IN_TERM_BASE
          : undefined,
    },
  ];
}

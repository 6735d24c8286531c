import {LogEvent} from '@gentiandoor/kernel';
import type {LogLine} from './job-timeline.js';

/** A run that was stopped in favour of another job, as far as its log line tells. */
export interface PreemptionLine {
  readonly task: string;
  /** Job of the stopped run. */
  readonly job: string;
  readonly worker: string;
  /** Job that the run was stopped for; `?` if its VM was needed by another pool. */
  readonly forJob: string;
  readonly reason: string;
  /** Lost work in core-milliseconds; 0 if the line does not tell. */
  readonly lostCoreMilliseconds: number;
}

const UNKNOWN = '?';
const MILLICORES_PER_CORE = 1_000;

/** Returns the preemption that a line records, if it does. */
export function preemptionOf({
  event,
  fields,
}: LogLine): PreemptionLine | undefined {
  const {task, job, worker, reason} = fields;
  if (event !== LogEvent.RunPreempted || typeof task !== 'string')
    return undefined;
  const lost = Number(fields.lostMillicoreMilliseconds);
  return {
    task,
    job: task.split('.')[0],
    worker: textOr(worker),
    forJob: textOr(job),
    reason: textOr(reason),
    lostCoreMilliseconds: Number.isFinite(lost)
      ? lost / MILLICORES_PER_CORE
      : 0,
  };
}

function textOr(value: unknown): string {
  return typeof value === 'string' && value !== '' ? value : UNKNOWN;
}

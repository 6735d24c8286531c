import {RunEnd} from '@gentiandoor/jobs';
import {worstCaseLeaseMilliseconds} from '@gentiandoor/scheduling';
import {RunStatus, type FormerIncarnation, type LiveRun} from './live-run.js';
import {
  namesIncarnation,
  reportsStart,
  type IncarnationName,
} from './worker-incarnation.js';

/** A call without a response is executed at most this long after it was sent. */
export const LATEST_EXECUTION_MILLISECONDS = 12_000;
/** Allowance for local processing delays. */
const SLACK_MILLISECONDS = 300;

/** Times that bound how long a carried run may be alive. */
export interface CarryBounds {
  readonly termStartedAt: number;
  /**
   * Returns a time at which an earlier term was over, so that its coordinator sent no order any more.
   */
  endOfTerm(term: number): number;
  /** Longest lease that a worker accepts. */
  readonly maximumLeaseMilliseconds: number;
}

/**
 * Returns whether the start order of a run may still be carried out. It names the worker, not its
 * incarnation, and a worker that restarts forgets the stop and the fencing token that ruled the
 * order out.
 */
export function isStartOpen(
  run: LiveRun,
  bounds: CarryBounds,
  now: number,
): boolean {
  return isInDoubt(run) && now < latestExecutionAt(run, bounds);
}

/**
 * Returns whether a poll of `worker`, sent at `requestedAt`, that does not list a run, as alive or
 * as ended, shows that the run is over.
 */
export function isOverIfUnlisted(
  run: LiveRun,
  worker: IncarnationName,
  requestedAt: number,
  bounds: CarryBounds,
): boolean {
  if (reportsStart(worker) && isInDoubt(run))
    return requestedAt >= latestExecutionAt(run, bounds);
  return (
    run.status === RunStatus.Recovered || run.orderAnsweredAt < requestedAt
  );
}

/**
 * Returns whether a run that no poll has listed on the former incarnation of its worker may be
 * alive on the next one: its order may have been answered by either.
 */
export function mayRunOnNextIncarnation(run: LiveRun): boolean {
  return run.status !== RunStatus.Planned && run.listedAt === undefined;
}

/** Prepares a run for the session with the next incarnation of its worker. */
export function carryOver(run: LiveRun, former: FormerIncarnation): void {
  run.carriedFrom = former;
  run.listedAt = undefined;
  run.stopRequested = false;
  if (run.status === RunStatus.Recovered) return;
  const {startConfirmedAt = Infinity} = run;
  const isAnswered = Number.isFinite(startConfirmedAt);
  run.status = isAnswered ? RunStatus.Confirmed : RunStatus.Ordered;
  run.orderAnsweredAt = startConfirmedAt;
}

/**
 * Notes that a run is assigned to the incarnation `id` of its worker. A record that names
 * another incarnation shows that the worker has restarted since.
 */
export function noteAssigned(run: LiveRun, id: string, now: number): void {
  const {worker} = run.executableTask.progress;
  if (worker === id) run.carriedFrom = undefined;
  else if (namesIncarnation(worker))
    run.carriedFrom ??= {end: RunEnd.Crashed, endedAt: now};
}

/** Notes that a poll listed the run: it runs on the present incarnation. */
export function noteListed(run: LiveRun, now: number): void {
  run.listedAt = now;
  run.carriedFrom = undefined;
}

/**
 * Returns until when a run on an unresponsive worker that reports its start may be alive,
 * whatever its lease: the worker may have restarted, and a late start order is executed by
 * the new incarnation with the longest lease, since it carries a time on the old clock.
 */
export function mayBeAliveUntil(run: LiveRun, bounds: CarryBounds): number {
  if (run.carriedFrom === undefined && !isInDoubt(run)) return -Infinity;
  return latestExecutionAt(run, bounds) + longestLease(bounds);
}

/**
 * Returns how long after it was sent an order may keep a run alive, whatever the clock of its
 * worker: it is carried out late, with the longest lease.
 */
export function carryMilliseconds(
  bounds: Pick<CarryBounds, 'maximumLeaseMilliseconds'>,
): number {
  return LATEST_EXECUTION_MILLISECONDS + longestLease(bounds);
}

/**
 * Returns whether several runs of a task may be alive at the same time, so that none of them has to
 * wait until the order of another one can no longer be carried out. The limit of an organisation
 * counts one run of each task, so its tasks wait.
 */
export function mayRunInParallel({
  execution,
  executableTask,
}: LiveRun): boolean {
  const {speculative, gang, longRunning} = executableTask.specification;
  const isLimited = execution.job.organisation !== undefined;
  return speculative && !gang && !longRunning && !isLimited;
}

/**
 * Returns whether a sent order is not known to have been carried out, and its task has to wait for
 * that.
 */
function isInDoubt(run: LiveRun): boolean {
  return (
    run.status !== RunStatus.Planned &&
    !run.executableTask.progress.isStartExecuted &&
    !mayRunInParallel(run)
  );
}

/** Returns when the start order of a run can no longer be carried out. */
function latestExecutionAt(run: LiveRun, bounds: CarryBounds): number {
  const sentBy = run.startSentAt ?? sentByPredecessor(run, bounds);
  return sentBy + LATEST_EXECUTION_MILLISECONDS;
}

function sentByPredecessor(
  {executableTask}: LiveRun,
  bounds: CarryBounds,
): number {
  const {orderedInTerm} = executableTask.progress;
  return orderedInTerm === undefined
    ? bounds.termStartedAt
    : Math.min(bounds.termStartedAt, bounds.endOfTerm(orderedInTerm));
}

function longestLease({
  maximumLeaseMilliseconds,
}: Pick<CarryBounds, 'maximumLeaseMilliseconds'>): number {
  return (
    worstCaseLeaseMilliseconds(maximumLeaseMilliseconds) + SLACK_MILLISECONDS
  );
}

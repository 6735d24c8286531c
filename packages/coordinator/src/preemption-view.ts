import type {JobExecution, StepSpecification} from '@gentiandoor/jobs';
import {
  Entitlement,
  sumResources,
  type Resources,
} from '@gentiandoor/organisations';
import type {
  PreemptibleRun,
  PreemptionPool,
  WorkerChoice,
} from '@gentiandoor/scheduling';
import {RunStatus, aliveSince, type LiveRun} from './live-run.js';
import type {TaskPlacementRequest} from './placement-round.js';
import type {StoppingRuns} from './stopping-runs.js';
import type {JobStanding, WaitingJobs} from './waiting-jobs.js';
import type {WorkerSession} from './worker-session.js';

/** The pool of a service at the end of a placement round. */
export interface PoolState {
  readonly service: string;
  /** Sessions with the workers on which tasks may start. */
  readonly sessions: readonly WorkerSession[];
  readonly checkpointIntervalMilliseconds: number;
  readonly now: number;
  readonly wall: number;
}

/** Returns what the preemption policy needs to know about a pool. */
export function preemptionPool(
  state: PoolState,
  jobs: WaitingJobs,
  stopping: StoppingRuns,
): PreemptionPool {
  const {service, sessions, now} = state;
  const standings = new Map<string, JobStanding>();
  const standingOf = (execution: JobExecution, occurrence: number) => {
    const key = `${execution.job.id}.${occurrence}`;
    const standing =
      standings.get(key) ??
      jobs.standingOf(execution, occurrence, now, state.wall);
    standings.set(key, standing);
    return standing;
  };
  const runs: PreemptibleRun[] = [];
  for (const session of sessions) {
    const onWorker = [...session.runs.values()];
    // A worker that does not carry out one stop would not carry out another.
    if (onWorker.some(run => stopping.isOverdue(run, now))) continue;
    for (const run of onWorker) {
      // Only for a confirmed run is it known how long it has worked.
      if (run.status !== RunStatus.Confirmed || stopping.isStopping(run))
        continue;
      const {occurrence} = run.executableTask;
      const standing = standingOf(run.execution, occurrence);
      runs.push(preemptibleRun(run, session.id, standing, state));
    }
  }
  const capacity = sumResources(sessions.map(({entry}) => entry.capacity));
  return {
    service,
    capacityMillicores: capacity.processorMillicores,
    runs,
    workers: sessions.map(session => ({
      id: session.id,
      free: freeSoon(session, stopping, now),
    })),
  };
}

/**
 * Returns the workers on which a task could start if nothing else ran there. Labels, failures of
 * the task and the limit of tasks per worker still exclude workers.
 */
export function workersFor(
  placement: TaskPlacementRequest,
  sessions: readonly WorkerSession[],
  workerChoice: WorkerChoice,
  now: number,
): ReadonlySet<string> {
  const {avoid} = placement;
  const workers = new Set<string>();
  for (const session of sessions) {
    if (avoid.isMandatory && avoid.workers.has(session.id)) continue;
    const {capacity} = session.entry;
    const emptied = {
      ...session.placementView(now),
      freeMillicores: capacity.processorMillicores,
      freeMegabytes: capacity.memoryMegabytes,
      freeAccelerators: capacity.accelerators,
    };
    if (workerChoice.choose({...placement, now}, [emptied]))
      workers.add(session.id);
  }
  return workers;
}

/** Returns what a task of `step` takes from other tasks on its worker. */
export function requiredResources(step: StepSpecification): Resources {
  return {
    processorMillicores: step.bestEffort ? 0 : step.processorMillicores,
    memoryMegabytes: step.memoryMegabytes,
    accelerators: step.accelerators,
  };
}

function freeSoon(
  session: WorkerSession,
  stopping: StoppingRuns,
  now: number,
): Resources {
  const view = session.placementView(now);
  const free: Resources = {
    processorMillicores: view.freeMillicores,
    memoryMegabytes: view.freeMegabytes,
    accelerators: view.freeAccelerators,
  };
  const ending = [...session.runs.values()]
    .filter(run => stopping.endsSoon(run, now))
    .map(run => requiredResources(run.executableTask.specification));
  return sumResources([free, ...ending]);
}

function preemptibleRun(
  run: LiveRun,
  worker: string,
  standing: JobStanding,
  {checkpointIntervalMilliseconds, now}: PoolState,
): PreemptibleRun {
  const {specification, progress} = run.executableTask;
  const {checkpointing, longRunning, gang} = specification;
  const ageMilliseconds = now - (aliveSince(run) ?? now);
  return {
    task: run.task,
    worker,
    resources: requiredResources(specification),
    priority: standing.priority,
    isCheckpointing: checkpointing,
    isLongRunning: longRunning,
    isGangMember: gang,
    // Polls show too late when a checkpoint was saved, so the whole interval may be lost.
    unsavedMilliseconds: checkpointing
      ? Math.min(ageMilliseconds, checkpointIntervalMilliseconds)
      : ageMilliseconds,
    ageMilliseconds,
    expectedMilliseconds: run.expectedMilliseconds,
    progressPercent: run.percent,
    hasValue: now < standing.expiresAt,
    isLate: now >= standing.dueAt,
    isExcess: standing.entitlement === Entitlement.Excess,
    preemptions: progress.preemptions,
  };
}

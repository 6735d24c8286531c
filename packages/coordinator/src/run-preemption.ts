import {
  LogEvent,
  MetricName,
  type Clock,
  type Logger,
  type Metrics,
} from '@gentiandoor/kernel';
import type {ExecutableTask, JobExecution} from '@gentiandoor/jobs';
import {Entitlement} from '@gentiandoor/organisations';
import {
  DeadlineFeasibility,
  postponedJobs,
  rankOf,
  type PoolMillicores,
  type Preemption,
  type PreemptionPolicy,
  type PreemptionRequest,
  type WaitingOrder,
  type WorkerChoice,
} from '@gentiandoor/scheduling';
import type {PlatformLimits} from './entry-settings.js';
import type {LiveRun} from './live-run.js';
import type {TaskPlacementRequest} from './placement-round.js';
import {
  preemptionPool,
  requiredResources,
  workersFor,
} from './preemption-view.js';
import type {StoredAction} from './progress-writer.js';
import {RoundCause, type SchedulePlacement} from './round-cause.js';
import type {RunLog} from './run-log.js';
import {StoppingRuns} from './stopping-runs.js';
import type {PlacementCandidate, WaitingJobs} from './waiting-jobs.js';
import type {WorkerSession} from './worker-session.js';

/** Dependencies of run preemption. */
export interface RunPreemptionParts {
  readonly policy: PreemptionPolicy;
  readonly workerChoice: WorkerChoice;
  readonly limits: PlatformLimits;
  readonly clock: Clock;
  readonly runLog: RunLog;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Stores the progress of a job, then calls `then`. */
  readonly store: (execution: JobExecution, then?: StoredAction) => void;
  readonly schedulePlacement: SchedulePlacement;
}

/** A placement round that has ended. */
export interface EndedRound {
  readonly service: string;
  readonly sessions: readonly WorkerSession[];
  readonly jobs: WaitingJobs;
  /** Jobs that had ready tasks. */
  readonly candidates: readonly PlacementCandidate[];
  readonly waitingOrder: WaitingOrder;
  readonly capacity: PoolMillicores;
  readonly now: number;
}

/** Why a run that was chosen is not stopped. */
enum WithdrawalReason {
  RunEnded = 'run_ended',
  AlreadyStopping = 'already_stopping',
  NotNeeded = 'not_needed',
  /** The store took too long to record the decision. */
  Outdated = 'outdated',
}

/** Tasks that found no capacity in the current round. */
interface UnplacedTasks {
  readonly candidate: PlacementCandidate;
  readonly tasks: readonly ExecutableTask[];
  readonly placement: TaskPlacementRequest;
}

/** A run that is stopped once its decision is stored. */
interface PlannedStop {
  readonly session: WorkerSession;
  readonly run: LiveRun;
  readonly unplaced: UnplacedTasks;
  readonly decidedAt: number;
}

const IN_TIME_RANK = rankOf(DeadlineFeasibility.InTime, false);
/** Tasks of one step considered in a round; a round stops no more runs than that. */
const MAXIMUM_TASKS_OF_STEP = 8;
/** Each check looks at every run of the pool, and rounds can follow each other at once. */
const MINIMUM_CHECK_INTERVAL_MILLISECONDS = 50;
/**
 * Retry interval while tasks wait: runs become old enough to be stopped, and the budget recovers,
 * without an event.
 */
const RETRY_MILLISECONDS = 100;
/** A decision that takes longer to store was made for a state that has passed. */
const MAXIMUM_DECISION_AGE_MILLISECONDS = 1_000;
const MINIMUM_LOG_INTERVAL_MILLISECONDS = 1_000;

/**
 * Stops runs so that tasks that can still be in time find capacity. The count of a task's stops is
 * stored before the stop is sent, so that a successor never stops a task too often.
 */
export class RunPreemption {
  private unplaced: UnplacedTasks[] = [];
  private readonly unplacedOfStep = new Map<string, number>();
  private readonly stopping: StoppingRuns;
  private readonly checkedAt = new Map<string, number>();
  private readonly loggedAt = new Map<string, number>();
  private readonly retries = new Set<string>();

  constructor(private readonly parts: RunPreemptionParts) {
    this.stopping = new StoppingRuns(parts.limits.stopMilliseconds);
  }

  /** Records tasks that start together and found no capacity in the current round. */
  noteUnplaced(
    candidate: PlacementCandidate,
    tasks: readonly ExecutableTask[],
    placement: TaskPlacementRequest,
  ): void {
    if (candidate.rank !== IN_TIME_RANK || placement.isIsolated) return;
    const {stepKey, step} = placement;
    const count = this.unplacedOfStep.get(stepKey) ?? 0;
    const maximum = step.maximumPerWorker > 0 ? 1 : MAXIMUM_TASKS_OF_STEP;
    if (count >= maximum) return;
    this.unplacedOfStep.set(stepKey, count + 1);
    this.unplaced.push({candidate, tasks, placement});
  }

  /** Ends a placement round: stops runs for the tasks that were noted during it. */
  afterRound(round: EndedRound): void {
    const {service, now} = round;
    const {unplaced} = this;
    this.unplaced = [];
    this.unplacedOfStep.clear();
    if (unplaced.length === 0) return;
    this.retryLater(service);
    const checkedAt = this.checkedAt.get(service) ?? -Infinity;
    if (now - checkedAt < MINIMUM_CHECK_INTERVAL_MILLISECONDS) return;
    this.checkedAt.set(service, now);
    this.check(round, unplaced);
  }

  private check(round: EndedRound, unplaced: readonly UnplacedTasks[]): void {
    const {service, sessions, jobs, now} = round;
    const {policy, workerChoice, limits, clock} = this.parts;
    const pool = preemptionPool(
      {
        service,
        sessions,
        checkpointIntervalMilliseconds: limits.checkpointIntervalMilliseconds,
        now,
        wall: clock.wallMilliseconds(),
      },
      jobs,
      this.stopping,
    );
    const requests = requestsFor(unplaced, round, workerChoice);
    const choice = policy.choose([...requests.keys()], pool, now);
    if (choice.isBudgetExhausted) this.noteBudgetExhausted(service, now);
    for (const {request, preemptions} of choice.decisions)
      for (const preemption of preemptions) {
        const session = sessions.find(({id}) => id === preemption.worker);
        const run = session?.runs.get(preemption.task);
        const waiting = requests.get(request);
        if (!session || !run || !waiting) continue;
        this.plan(
          {session, run, unplaced: waiting, decidedAt: now},
          request,
          preemption,
        );
      }
  }

  private plan(
    stop: PlannedStop,
    request: PreemptionRequest,
    preemption: Preemption,
  ): void {
    const {run, session, decidedAt} = stop;
    this.stopping.mark(run, decidedAt);
    run.executableTask.progress.preemptions++;
    const lost = preemption.lostMillicoreMilliseconds;
    const gained = request.gainedMillicoreMilliseconds;
    this.parts.runLog.preempted(run, session.id, preemption.reason, {
      job: request.job,
      lostMillicoreMilliseconds: Math.round(lost),
      gainedMillicoreMilliseconds: Math.round(gained),
      cost: Number((lost / Math.max(1, gained)).toFixed(2)),
    });
    this.parts.store(run.execution, () => this.send(stop));
  }

  private send(stop: PlannedStop): void {
    const reason = this.reasonToWithdraw(stop);
    if (reason === undefined) void stop.session.stopRun(stop.run);
    else this.withdraw(stop, reason);
  }

  private reasonToWithdraw({
    session,
    run,
    unplaced,
    decidedAt,
  }: PlannedStop): WithdrawalReason | undefined {
    if (!session.isExpected(run)) return WithdrawalReason.RunEnded;
    if (run.stopRequested) return WithdrawalReason.AlreadyStopping;
    const {candidate, tasks} = unplaced;
    const areWaiting = tasks.every(
      ({progress}) => !progress.done && progress.worker === '',
    );
    if (candidate.execution.hasEnded || !areWaiting)
      return WithdrawalReason.NotNeeded;
    const age = this.parts.clock.monotonicMilliseconds() - decidedAt;
    return age > MAXIMUM_DECISION_AGE_MILLISECONDS
      ? WithdrawalReason.Outdated
      : undefined;
  }

  private withdraw(
    {run, session, unplaced}: PlannedStop,
    reason: WithdrawalReason,
  ): void {
    this.stopping.unmark(run);
    run.executableTask.progress.preemptions--;
    this.parts.logger.info(LogEvent.PreemptionWithdrawn, {
      job: unplaced.candidate.execution.job.id,
      task: run.task,
      run: run.run,
      worker: session.id,
      reason,
    });
    this.parts.metrics.increment(MetricName.PreemptionsWithdrawn, {reason});
    this.parts.store(run.execution);
  }

  private noteBudgetExhausted(service: string, now: number): void {
    const {logger, metrics} = this.parts;
    metrics.increment(MetricName.PreemptionBudgetExhausted, {service});
    const loggedAt = this.loggedAt.get(service) ?? -Infinity;
    if (now - loggedAt < MINIMUM_LOG_INTERVAL_MILLISECONDS) return;
    this.loggedAt.set(service, now);
    logger.info(LogEvent.PreemptionBudgetExhausted, {service});
  }

  private retryLater(service: string): void {
    if (this.retries.has(service)) return;
    this.retries.add(service);
    this.parts.clock.schedule(RETRY_MILLISECONDS, () => {
      this.retries.delete(service);
      this.parts.schedulePlacement(service, RoundCause.PreemptionCheck);
    });
  }
}

function requestOf(
  {candidate, tasks, placement}: UnplacedTasks,
  workers: ReadonlySet<string>,
  isPostponed: boolean,
): PreemptionRequest {
  const {execution, ready, remainingMillicoreMilliseconds} = candidate;
  const share = tasks.length / ready.length;
  return {
    job: execution.job.id,
    stepKey: placement.stepKey,
    priority: candidate.priority,
    isExcess: candidate.entitlement === Entitlement.Excess,
    isPostponed,
    tasks: tasks.map(task => requiredResources(task.specification)),
    workers,
    gainedMillicoreMilliseconds: share * remainingMillicoreMilliseconds,
  };
}

/** Returns the requests of a round in its order, with the tasks that each is for. */
function requestsFor(
  unplaced: readonly UnplacedTasks[],
  {sessions, candidates, waitingOrder, capacity, now}: EndedRound,
  workerChoice: WorkerChoice,
): ReadonlyMap<PreemptionRequest, UnplacedTasks> {
  const postponed = postponedJobs(waitingOrder, candidates, capacity, now);
  const requests = new Map<PreemptionRequest, UnplacedTasks>();
  const workersOfSteps = new Map<string, ReadonlySet<string>>();
  for (const one of unplaced) {
    const {placement} = one;
    const {stepKey, avoid} = placement;
    // Tasks of a step differ only in the workers on which they failed.
    const known =
      avoid.workers.size === 0 ? workersOfSteps.get(stepKey) : undefined;
    const workers = known ?? workersFor(placement, sessions, workerChoice, now);
    if (avoid.workers.size === 0) workersOfSteps.set(stepKey, workers);
    requests.set(requestOf(one, workers, postponed.has(one.candidate)), one);
  }
  return requests;
}

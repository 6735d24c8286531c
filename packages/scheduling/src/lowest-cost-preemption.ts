import type {Resources} from '@gentiandoor/organisations';
import {PreemptionBudget} from './preemption-budget.js';
import {
  PreemptionReason,
  type PreemptibleRun,
  type Preemption,
  type PreemptionChoice,
  type PreemptionDecision,
  type PreemptionPolicy,
  type PreemptionPool,
  type PreemptionRequest,
} from './preemption.js';

/** Maximum number of runs that one round stops in a pool. */
export const MAXIMUM_PREEMPTIONS_PER_ROUND = 8;
/** A task is stopped for other work at most this often. */
export const MAXIMUM_PREEMPTIONS_PER_TASK = 2;
/** A younger run has hardly begun, and its start would be wasted. */
const MINIMUM_AGE_MILLISECONDS = 300;
/** A run beyond this share of its expected time or progress ends soon by itself. */
const NEARLY_DONE_SHARE = 0.8;
/**
 * Maximum of the work lost per work gained. Above 1 since lost work is an upper limit, twice its
 * mean, and is repeated after the load peak, when capacity is idle.
 */
const MAXIMUM_COST = 2;

interface RunWithLoss {
  readonly run: PreemptibleRun;
  /** Millicore-milliseconds that a stop loses. */
  readonly loss: number;
}

/** A run that a request may stop. */
interface Stoppable {
  readonly run: PreemptibleRun;
  readonly preemption: Preemption;
}

/** The runs to stop on one worker so that a task fits on it. */
interface WorkerOption {
  readonly worker: string;
  readonly stops: readonly Stoppable[];
  readonly lost: number;
}

/**
 * Stops the runs whose loss is the smallest.
 * Load: an urgent queue's peak that meets a pool full of work that is late or less urgent and saves
 * checkpoints. Without it, the urgent jobs wait until that work ends and are late too.
 */
export class LowestCostPreemption implements PreemptionPolicy {
  private readonly budgets = new Map<string, PreemptionBudget>();

  /** Continuing from a checkpoint takes `restoreMilliseconds`. */
  constructor(private readonly restoreMilliseconds: number) {}

  choose(
    requests: readonly PreemptionRequest[],
    pool: PreemptionPool,
    now: number,
  ): PreemptionChoice {
    const budget = this.budgetOf(pool.service);
    const round = new PreemptionRound(pool, this.restoreMilliseconds);
    const decisions: PreemptionDecision[] = [];
    let isBudgetExhausted = false;
    /** Steps of which a request could not be met: a check of all runs for each task is too slow. */
    const unmetSteps = new Set<string>();
    for (const request of requests) {
      if (isBudgetExhausted || round.isFull) break;
      if (unmetSteps.has(request.stepKey)) continue;
      const stops = round.plan(request);
      if (!stops) unmetSteps.add(request.stepKey);
      if (!stops || stops.length === 0) continue;
      const lost = sumOfLosses(stops);
      if (!pays(stops, request)) {
        unmetSteps.add(request.stepKey);
        round.rollBack();
      } else if (lost > budget.remaining(pool.capacityMillicores, now)) {
        isBudgetExhausted = true;
        round.rollBack();
      } else {
        round.commit();
        budget.spend(lost, now);
        decisions.push({
          request,
          preemptions: stops.map(({preemption}) => preemption),
        });
      }
    }
    return {decisions, isBudgetExhausted};
  }

  private budgetOf(service: string): PreemptionBudget {
    let budget = this.budgets.get(service);
    if (!budget) this.budgets.set(service, (budget = new PreemptionBudget()));
    return budget;
  }
}

/** Tracks which runs are stopped and which resources are assigned in one round. */
class PreemptionRound {
  private free: Map<string, Resources>;
  private committedFree: Map<string, Resources>;
  private stopped = new Set<PreemptibleRun>();
  private committedStopped = new Set<PreemptibleRun>();
  /** Runs that may be stopped for some request, by worker, the smallest loss first. */
  private readonly runsByWorker = new Map<string, RunWithLoss[]>();

  constructor(
    pool: PreemptionPool,
    private readonly restoreMilliseconds: number,
  ) {
    this.committedFree = new Map(pool.workers.map(({id, free}) => [id, free]));
    this.free = new Map(this.committedFree);
    for (const run of pool.runs) {
      if (isExempt(run)) continue;
      const runs = this.runsByWorker.get(run.worker) ?? [];
      runs.push({run, loss: this.lossOf(run)});
      this.runsByWorker.set(run.worker, runs);
    }
    for (const runs of this.runsByWorker.values())
      runs.sort((left, right) => left.loss - right.loss);
  }

  /** Whether no more runs may be stopped in this round. */
  get isFull(): boolean {
    return this.stopped.size >= MAXIMUM_PREEMPTIONS_PER_ROUND;
  }

  /**
   * Assigns each task of `request` to a worker; returns the runs to stop for that, or undefined if
   * not every task would fit on one worker. Tasks that need no stop are committed at once.
   */
  plan(request: PreemptionRequest): readonly Stoppable[] | undefined {
    const stops: Stoppable[] = [];
    for (const task of request.tasks) {
      const option = this.freeWorker(request, task) ?? this.best(request, task);
      if (!option) {
        this.rollBack();
        return undefined;
      }
      this.assign(option, task);
      stops.push(...option.stops);
    }
    if (stops.length === 0) this.commit();
    return stops;
  }

  rollBack(): void {
    this.free = new Map(this.committedFree);
    this.stopped = new Set(this.committedStopped);
  }

  commit(): void {
    this.committedFree = new Map(this.free);
    this.committedStopped = new Set(this.stopped);
  }

  private freeWorker(
    {workers}: PreemptionRequest,
    task: Resources,
  ): WorkerOption | undefined {
    for (const [worker, free] of this.free)
      if (workers.has(worker) && fits(task, free))
        return {worker, stops: [], lost: 0};
    return undefined;
  }

  private best(
    request: PreemptionRequest,
    task: Resources,
  ): WorkerOption | undefined {
    let best: WorkerOption | undefined;
    for (const [worker, free] of this.free) {
      if (!request.workers.has(worker)) continue;
      const option = this.optionOn(worker, free, request, task);
      if (option && (!best || option.lost < best.lost)) best = option;
    }
    return best;
  }

  /** Returns the cheapest runs on one worker whose end lets the task fit there. */
  private optionOn(
    worker: string,
    free: Resources,
    request: PreemptionRequest,
    task: Resources,
  ): WorkerOption | undefined {
    let freed = free;
    const taken: Stoppable[] = [];
    for (const one of this.stoppableOn(worker, request)) {
      if (fits(task, freed)) break;
      if (!helps(one.run.resources, task, freed)) continue;
      taken.push(one);
      freed = plus(freed, one.run.resources, 1);
    }
    if (!fits(task, freed)) return undefined;
    const stops = withoutSurplus(taken, task, freed);
    if (this.stopped.size + stops.length > MAXIMUM_PREEMPTIONS_PER_ROUND)
      return undefined;
    return {worker, stops, lost: sumOfLosses(stops)};
  }

  private *stoppableOn(
    worker: string,
    request: PreemptionRequest,
  ): Iterable<Stoppable> {
    for (const {run, loss} of this.runsByWorker.get(worker) ?? []) {
      const reason = reasonToStop(run, request);
      if (reason === undefined || this.stopped.has(run)) continue;
      const {task} = run;
      const lostMillicoreMilliseconds = loss;
      yield {
        run,
        preemption: {task, worker, lostMillicoreMilliseconds, reason},
      };
    }
  }

  private lossOf(run: PreemptibleRun): number {
    const restore = run.isCheckpointing ? this.restoreMilliseconds : 0;
    return (
      (run.unsavedMilliseconds + restore) * run.resources.processorMillicores
    );
  }

  private assign({worker, stops}: WorkerOption, task: Resources): void {
    let free = this.free.get(worker);
    if (!free) return;
    for (const {run} of stops) {
      free = plus(free, run.resources, 1);
      this.stopped.add(run);
    }
    this.free.set(worker, plus(free, task, -1));
  }
}

/** Whether a run is never stopped for other work. */
function isExempt(run: PreemptibleRun): boolean {
  return (
    run.isLongRunning ||
    run.isGangMember ||
    run.preemptions >= MAXIMUM_PREEMPTIONS_PER_TASK ||
    run.ageMilliseconds < MINIMUM_AGE_MILLISECONDS ||
    run.ageMilliseconds > NEARLY_DONE_SHARE * run.expectedMilliseconds ||
    run.progressPercent > 100 * NEARLY_DONE_SHARE
  );
}

/**
 * Returns why `run` may be stopped for `request`; undefined if it may not. Excess jobs stop no
 * entitled work that still has value.
 */
function reasonToStop(
  run: PreemptibleRun,
  request: PreemptionRequest,
): PreemptionReason | undefined {
  if (!run.hasValue) return PreemptionReason.WithoutValue;
  if (!run.isCheckpointing) return undefined;
  if (request.isExcess && !run.isExcess) return undefined;
  if (run.isLate) return PreemptionReason.Late;
  // Stopped work that can still be in time would go ahead of the request again.
  if (request.isPostponed) return undefined;
  if (run.isExcess && !request.isExcess) return PreemptionReason.Excess;
  return run.priority > request.priority
    ? PreemptionReason.LessUrgent
    : undefined;
}

/** Whether the gain is worth the loss; the loss of work without value is not counted. */
function pays(
  stops: readonly Stoppable[],
  request: PreemptionRequest,
): boolean {
  const lost = sumOfLosses(stops.filter(({run}) => run.hasValue));
  return lost <= MAXIMUM_COST * request.gainedMillicoreMilliseconds;
}

/** Leaves out the most expensive runs that the others make unnecessary. */
function withoutSurplus(
  taken: readonly Stoppable[],
  task: Resources,
  freed: Resources,
): readonly Stoppable[] {
  let kept = taken;
  let left = freed;
  for (const one of [...taken].reverse()) {
    const less = plus(left, one.run.resources, -1);
    if (!fits(task, less)) continue;
    left = less;
    kept = kept.filter(other => other !== one);
  }
  return kept;
}

function sumOfLosses(stops: readonly Stoppable[]): number {
  return stops.reduce(
    (sum, {preemption}) => sum + preemption.lostMillicoreMilliseconds,
    0,
  );
}

const DIMENSIONS = [
  'processorMillicores',
  'memoryMegabytes',
  'accelerators',
] as const;

function fits(task: Resources, free: Resources): boolean {
  return DIMENSIONS.every(dimension => task[dimension] <= free[dimension]);
}

/** Whether the end of a run with `resources` frees any of what the task lacks. */
function helps(
  resources: Resources,
  task: Resources,
  free: Resources,
): boolean {
  return DIMENSIONS.some(
    dimension => task[dimension] > free[dimension] && resources[dimension] > 0,
  );
}

function plus(left: Resources, right: Resources, factor: 1 | -1): Resources {
  return {
    processorMillicores:
      left.processorMillicores + factor * right.processorMillicores,
    memoryMegabytes: left.memoryMegabytes + factor * right.memoryMegabytes,
    accelerators: left.accelerators + factor * right.accelerators,
  };
}

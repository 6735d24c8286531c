import type {JobSubmission, StepSpecification} from '@gentiandoor/jobs';
import {
  ArrivalRateEstimator,
  DurationModel,
  SlidingMaximum,
  RunningMean,
  StragglerModel,
  dominantResourceMillicores,
  type DurationSnapshot,
  type MeanSnapshot,
  type VmCapacity,
} from '@gentiandoor/scheduling';

/** Number of jobs over which the mean work of a queue is averaged. */
const MEAN_WORK_JOBS = 30;
/** Demand is held at its peak this long, so that VMs do not leave during a short lull. */
const PEAK_HOLD_MILLISECONDS = 1_500;

/**
 * Share of the slowest sibling's excess run time that counts. Run times are observed with
 * polling delays, which grow when the coordinator lags: if the excess counted in full,
 * late jobs would appear to be on time.
 */
const SLOWEST_SHARE = 0.5;

/** Number of runs over which the delay from placement to start is averaged. */
const START_DELAY_SAMPLES = 200;

/** A longer estimate counts as this long: a sum of estimates must stay a number. */
const LONGEST_ESTIMATE_MILLISECONDS = 24 * 60 * 60 * 1_000;
/** A task that requests more counts as requesting this much, for the same reason. */
const LARGEST_TASK_MILLICORES = 1_000_000;

/** Estimates of the work that arrives for a service, and of its recent peak. */
interface ServiceArrivals {
  readonly estimator: ArrivalRateEstimator;
  readonly peak: SlidingMaximum;
}

/** What was learned about the work, by queue. */
export interface LearnedDemand {
  readonly startDelay: MeanSnapshot;
  readonly durations: ReadonlyArray<[string, DurationSnapshot]>;
  readonly spreads: ReadonlyArray<[string, MeanSnapshot]>;
  readonly work: ReadonlyArray<[string, MeanSnapshot]>;
}

/** Learns how much work arrives for each service and how long it takes. */
export class ServiceDemand {
  private readonly durations = new Map<string, DurationModel>();
  private readonly stragglers = new Map<string, StragglerModel>();
  private vmCapacity: VmCapacity | undefined;
  private readonly arrivals = new Map<string, ServiceArrivals>();
  /** Milliseconds for which a run occupies capacity before it begins. */
  private readonly startDelay = new RunningMean(START_DELAY_SAMPLES);
  private readonly meanWork = new Map<string, RunningMean>();

  /**
   * Records the capacity of the workers, on which the share that a task takes depends.
   */
  noteVmCapacity(capacity: VmCapacity | undefined): void {
    this.vmCapacity = capacity ?? this.vmCapacity;
  }

  /** Records a job that was submitted at `at`. */
  note(service: string, job: JobSubmission, at: number): void {
    const work = this.workOf(job);
    const {estimator} = this.arrivalsOf(service);
    estimator.observe(this.meanWorkOf(job.queue).observe(work), at);
  }

  /**
   * Returns the expected millicore-milliseconds of all tasks of a job that end by
   * themselves.
   */
  workOf(job: JobSubmission): number {
    return job.steps
      .filter(step => !step.longRunning)
      .reduce(
        (sum, step) => sum + step.taskCount * this.taskWork(job.queue, step),
        0,
      );
  }

  /** Returns the millicores that arriving work keeps busy, held at their recent peak. */
  offeredLoadMillicores(service: string, now: number): number {
    const {estimator, peak} = this.arrivalsOf(service);
    return peak.observe(estimator.offeredLoadMillicores(now), now);
  }

  /** Returns the millicores that arriving work keeps busy, at the current rate. */
  currentLoadMillicores(service: string, now: number): number {
    return this.arrivalsOf(service).estimator.offeredLoadMillicores(now);
  }

  /** Returns the standard error of the offered load, in millicores. */
  standardErrorMillicores(service: string, now: number): number {
    return this.arrivalsOf(service).estimator.standardErrorMillicores(now);
  }

  /**
   * Records the duration of a task of `step` that succeeded; `stepKey` identifies its
   * step of the occurrence.
   */
  noteDuration(
    queue: string,
    step: StepSpecification,
    stepKey: string,
    milliseconds: number,
  ): void {
    this.durationsOf(queue).observe(estimateOf(step), milliseconds);
    this.stragglersOf(queue).observe(stepKey, step.taskCount, milliseconds);
  }

  /**
   * Records how long a run occupied capacity before it began, while its record was stored
   * and its order was sent.
   */
  noteStartDelay(milliseconds: number): void {
    this.startDelay.observe(milliseconds);
  }

  /**
   * Returns the expected milliseconds until all tasks of `step` have ended, if they start
   * together.
   */
  stepTime(queue: string, step: StepSpecification): number {
    const slowest = this.stragglersOf(queue).stragglerFactor(step.taskCount);
    const factor = 1 + SLOWEST_SHARE * (slowest - 1);
    return factor * this.expectedTime(queue, step);
  }

  /** Returns the expected millicore-milliseconds of a task of `step`. */
  taskWork(queue: string, step: StepSpecification): number {
    const mean = this.durationsOf(queue).meanMilliseconds(estimateOf(step));
    const time = mean + this.startDelay.value;
    const millicores = dominantResourceMillicores(step, this.vmCapacity);
    return Math.min(millicores, LARGEST_TASK_MILLICORES) * time;
  }

  /** Returns what was learned so far, for the next coordinator. */
  snapshot(): LearnedDemand {
    return {
      startDelay: this.startDelay.snapshot,
      durations: snapshotsIn(this.durations),
      spreads: snapshotsIn(this.stragglers),
      work: snapshotsIn(this.meanWork),
    };
  }

  /** Continues from what another coordinator has learned. */
  restore({startDelay, durations, spreads, work}: LearnedDemand): void {
    this.startDelay.restore(startDelay);
    for (const [queue, one] of durations) this.durationsOf(queue).restore(one);
    for (const [queue, one] of spreads) this.stragglersOf(queue).restore(one);
    for (const [queue, one] of work) this.meanWorkOf(queue).restore(one);
  }

  private durationsOf(queue: string): DurationModel {
    let model = this.durations.get(queue);
    if (!model) this.durations.set(queue, (model = new DurationModel()));
    return model;
  }

  /** Returns the expected run time of a task of `step`, in milliseconds. */
  expectedTime(queue: string, step: StepSpecification): number {
    return this.durationsOf(queue).medianMilliseconds(estimateOf(step));
  }

  private stragglersOf(queue: string): StragglerModel {
    let spread = this.stragglers.get(queue);
    if (!spread) this.stragglers.set(queue, (spread = new StragglerModel()));
    return spread;
  }

  private arrivalsOf(service: string): ServiceArrivals {
    let rate = this.arrivals.get(service);
    if (!rate) {
      rate = {
        estimator: new ArrivalRateEstimator(),
        peak: new SlidingMaximum(PEAK_HOLD_MILLISECONDS),
      };
      this.arrivals.set(service, rate);
    }
    return rate;
  }

  private meanWorkOf(queue: string): RunningMean {
    let mean = this.meanWork.get(queue);
    if (!mean)
      this.meanWork.set(queue, (mean = new RunningMean(MEAN_WORK_JOBS)));
    return mean;
  }
}

function estimateOf({estimatedMilliseconds}: StepSpecification): number {
  return Math.min(estimatedMilliseconds, LONGEST_ESTIMATE_MILLISECONDS);
}

function snapshotsIn<Snapshot>(
  learned: ReadonlyMap<string, {readonly snapshot: Snapshot}>,
): Array<[string, Snapshot]> {
  return [...learned].map(([queue, {snapshot}]) => [queue, snapshot]);
}

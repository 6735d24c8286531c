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

/** Jobs over which the mean work of a queue is taken. */
const MEAN_WORK_JOBS = 30;
/** Demand is held at its peak this long, so that VMs do not leave in a short lull. */
const PEAK_HOLD_MILLISECONDS = 1_500;

/**
 * Share of the slowest sibling's excess that counts. Run times are seen with the delays of polls, more so
 * when the coordinator lags: counted whole, jobs that are late seem to be in time.
 */
const SLOWEST_SHARE = 0.5;

/** Runs over which the delay from placement to start is averaged. */
const START_DELAY_SAMPLES = 200;

/** Work that arrives for a service. */
interface ServiceRate {
  readonly meter: ArrivalRateEstimator;
  readonly hold: SlidingMaximum;
}

/** What is learned of the work, by queue. */
export interface LearnedDemand {
  readonly startDelay: MeanSnapshot;
  readonly durations: ReadonlyArray<[string, DurationSnapshot]>;
  readonly spreads: ReadonlyArray<[string, MeanSnapshot]>;
  readonly work: ReadonlyArray<[string, MeanSnapshot]>;
}

/** What is learned of the work that comes for each service. */
export class ServiceDemand {
  private readonly durations = new Map<string, DurationModel>();
  private readonly spreads = new Map<string, StragglerModel>();
  private vmCapacity: VmCapacity | undefined;
  private readonly rates = new Map<string, ServiceRate>();
  /** Milliseconds for which a run takes room before it begins. */
  private readonly startDelay = new RunningMean(START_DELAY_SAMPLES);
  private readonly meanWork = new Map<string, RunningMean>();

  /** Notes the room of the workers: what a task takes away depends on it. */
  noteVmCapacity(room: VmCapacity | undefined): void {
    this.vmCapacity = room ?? this.vmCapacity;
  }

  /** Notes a job that was handed in at `at`. */
  note(service: string, job: JobSubmission, at: number): void {
    const work = this.workOf(job);
    const {meter} = this.rateOf(service);
    meter.observe(this.meanWorkOf(job.queue).observe(work), at);
  }

  /** Millicores that work which arrives keeps busy. */
  offeredLoadMillicores(service: string, now: number): number {
    const {meter, hold} = this.rateOf(service);
    return hold.observe(meter.offeredLoadMillicores(now), now);
  }

  /** Millicores by which that lies off by chance. */
  standardErrorMillicores(service: string, now: number): number {
    return this.rateOf(service).meter.standardErrorMillicores(now);
  }

  /** Notes how long a task of `step` took that ended well; `stepKey` names its step of the occurrence. */
  noteDuration(
    queue: string,
    step: StepSpecification,
    stepKey: string,
    milliseconds: number,
  ): void {
    this.durationsOf(queue).observe(step.estimatedMilliseconds, milliseconds);
    this.spreadOf(queue).observe(stepKey, step.taskCount, milliseconds);
  }

  /** Notes how long a run took room before it began: its record was stored, its order sent. */
  noteStartDelay(milliseconds: number): void {
    this.startDelay.observe(milliseconds);
  }

  /** Time to expect until all tasks of `step` have ended that start together, in milliseconds. */
  stepTime(queue: string, step: StepSpecification): number {
    const slowest = this.spreadOf(queue).stragglerFactor(step.taskCount);
    const factor = 1 + SLOWEST_SHARE * (slowest - 1);
    return factor * this.expectedTime(queue, step);
  }

  /** Millicores times milliseconds to expect of a task of `step`. */
  taskWork(queue: string, step: StepSpecification): number {
    const mean = this.durationsOf(queue).meanMilliseconds(
      step.estimatedMilliseconds,
    );
    const time = mean + this.startDelay.value;
    return dominantResourceMillicores(step, this.vmCapacity) * time;
  }

  /** What was learned so far, for a successor. */
  snapshot(): LearnedDemand {
    return {
      startDelay: this.startDelay.snapshot,
      durations: snapshotsIn(this.durations),
      spreads: snapshotsIn(this.spreads),
      work: snapshotsIn(this.meanWork),
    };
  }

  /** Goes on from what another coordinator has learned. */
  restore({startDelay, durations, spreads, work}: LearnedDemand): void {
    this.startDelay.restore(startDelay);
    for (const [queue, one] of durations) this.durationsOf(queue).restore(one);
    for (const [queue, one] of spreads) this.spreadOf(queue).restore(one);
    for (const [queue, one] of work) this.meanWorkOf(queue).restore(one);
  }

  private durationsOf(queue: string): DurationModel {
    let model = this.durations.get(queue);
    if (!model) this.durations.set(queue, (model = new DurationModel()));
    return model;
  }

  /** Run time to expect of a task of `step`, in milliseconds. */
  expectedTime(queue: string, step: StepSpecification): number {
    return this.durationsOf(queue).medianMilliseconds(
      step.estimatedMilliseconds,
    );
  }

  private spreadOf(queue: string): StragglerModel {
    let spread = this.spreads.get(queue);
    if (!spread) this.spreads.set(queue, (spread = new StragglerModel()));
    return spread;
  }

  private rateOf(service: string): ServiceRate {
    let rate = this.rates.get(service);
    if (!rate) {
      rate = {
        meter: new ArrivalRateEstimator(),
        hold: new SlidingMaximum(PEAK_HOLD_MILLISECONDS),
      };
      this.rates.set(service, rate);
    }
    return rate;
  }

  private meanWorkOf(queue: string): RunningMean {
    let mean = this.meanWork.get(queue);
    if (!mean)
      this.meanWork.set(queue, (mean = new RunningMean(MEAN_WORK_JOBS)));
    return mean;
  }

  /** Millicores times milliseconds of all tasks of a job that end by themselves. */
  private workOf(job: JobSubmission): number {
    return job.steps
      .filter(step => !step.longRunning)
      .reduce(
        (sum, step) => sum + step.taskCount * this.taskWork(job.queue, step),
        0,
      );
  }
}

function snapshotsIn<Snapshot>(
  learned: ReadonlyMap<string, {readonly snapshot: Snapshot}>,
): Array<[string, Snapshot]> {
  return [...learned].map(([queue, {snapshot}]) => [queue, snapshot]);
}

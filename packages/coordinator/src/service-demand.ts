import type {JobSubmission, StepSpecification} from '@gentiandoor/jobs';
import {
  DemandMeter,
  DurationModel,
  PeakHold,
  RunningMean,
  SiblingSpread,
  occupiedMillicores,
  type DurationSnapshot,
  type MeanSnapshot,
  type VmRoom,
} from '@gentiandoor/scheduling';

/** Jobs over which the mean work of a queue is taken. */
const MEMORY_JOBS = 30;
/** Demand is held at its peak this long, so that VMs do not leave in a short lull. */
const HOLD_MILLISECONDS = 1_500;

/**
 * Share of the slowest sibling's excess that counts. Run times are seen with the delays of polls, more so
 * when the coordinator lags: counted whole, jobs that are late seem to be in time.
 */
const SLOWEST_SHARE = 0.5;

/** Runs over which the delay from placement to start is averaged. */
const MEMORY_STARTS = 200;

/** Work that arrives for a service. */
interface ServiceRate {
  readonly meter: DemandMeter;
  readonly hold: PeakHold;
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
  private readonly spreads = new Map<string, SiblingSpread>();
  private room: VmRoom | undefined;
  private readonly rates = new Map<string, ServiceRate>();
  /** Milliseconds for which a run takes room before it begins. */
  private readonly startDelay = new RunningMean(MEMORY_STARTS);
  private readonly meanWork = new Map<string, RunningMean>();

  /** Notes the room of the workers: what a task takes away depends on it. */
  noteRoom(room: VmRoom | undefined): void {
    this.room = room ?? this.room;
  }

  /** Notes a job that was handed in at `at`. */
  note(service: string, job: JobSubmission, at: number): void {
    const work = this.workOf(job);
    const {meter} = this.rateOf(service);
    meter.note(this.meanWorkOf(job.queue).note(work), at);
  }

  /** Millicores that work which arrives keeps busy. */
  arrivingMillicores(service: string, now: number): number {
    const {meter, hold} = this.rateOf(service);
    return hold.note(meter.millicores(now), now);
  }

  /** Millicores by which that lies off by chance. */
  chanceMillicores(service: string, now: number): number {
    return this.rateOf(service).meter.chanceMillicores(now);
  }

  /** Notes how long a task of `step` took that ended well; `stepKey` names its step of the occurrence. */
  noteDuration(
    queue: string,
    step: StepSpecification,
    stepKey: string,
    milliseconds: number,
  ): void {
    this.durationsOf(queue).note(step.estimatedMilliseconds, milliseconds);
    this.spreadOf(queue).note(stepKey, step.taskCount, milliseconds);
  }

  /** Notes how long a run took room before it began: its record was stored, its order sent. */
  noteStartDelay(milliseconds: number): void {
    this.startDelay.note(milliseconds);
  }

  /** Time to expect until all tasks of `step` have ended that start together, in milliseconds. */
  stepTime(queue: string, step: StepSpecification): number {
    const slowest = this.spreadOf(queue).slowestFactor(step.taskCount);
    const factor = 1 + SLOWEST_SHARE * (slowest - 1);
    return factor * this.expectedTime(queue, step);
  }

  /** Millicores times milliseconds to expect of a task of `step`. */
  taskWork(queue: string, step: StepSpecification): number {
    const mean = this.durationsOf(queue).mean(step.estimatedMilliseconds);
    const time = mean + this.startDelay.value;
    return occupiedMillicores(step, this.room) * time;
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
    return this.durationsOf(queue).expected(step.estimatedMilliseconds);
  }

  private spreadOf(queue: string): SiblingSpread {
    let spread = this.spreads.get(queue);
    if (!spread) this.spreads.set(queue, (spread = new SiblingSpread()));
    return spread;
  }

  private rateOf(service: string): ServiceRate {
    let rate = this.rates.get(service);
    if (!rate) {
      rate = {
        meter: new DemandMeter(),
        hold: new PeakHold(HOLD_MILLISECONDS),
      };
      this.rates.set(service, rate);
    }
    return rate;
  }

  private meanWorkOf(queue: string): RunningMean {
    let mean = this.meanWork.get(queue);
    if (!mean) this.meanWork.set(queue, (mean = new RunningMean(MEMORY_JOBS)));
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

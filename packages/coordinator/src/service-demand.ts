import type {JobSubmission} from '@gentiandoor/jobs';
import {
  DemandMeter,
  DurationModel,
  BurstForecast,
  PeakHold,
} from '@gentiandoor/scheduling';

/** A VM that leaves a pool and comes back costs as much as two seconds in it; the meter itself falls over one. */
const HOLD_MILLISECONDS = 1_000;

/** What is learned of the work that comes for each service. */
export class ServiceDemand {
  private readonly durations = new Map<string, DurationModel>();
  private readonly meters = new Map<string, DemandMeter>();
  private readonly holds = new Map<string, PeakHold>();
  private readonly forecast = new BurstForecast();

  /** Notes a job that was handed in at `at` and whose longest chain of steps takes `chainMilliseconds`. */
  note(
    service: string,
    job: JobSubmission,
    at: number,
    chainMilliseconds: number,
  ): void {
    const work = this.workOf(job);
    this.meterOf(service).note(work, at, chainMilliseconds);
    this.forecast.note(service, work, at);
  }

  /** Millicores that work which arrives, or is about to, keeps busy. */
  arrivingMillicores(
    service: string,
    now: number,
    leadMilliseconds: number,
  ): number {
    const foreseen = this.forecast.millicores(service, now, leadMilliseconds);
    const rate = this.meterOf(service).millicores(now);
    return Math.max(foreseen, this.holdOf(service).note(rate, now));
  }

  /** Whether the turns of queues are foreseen by now. */
  foreseesBursts(now: number): boolean {
    return this.forecast.isKnown(now);
  }

  /** How long tasks of a queue take. */
  durationsOf(queue: string): DurationModel {
    let model = this.durations.get(queue);
    if (!model) this.durations.set(queue, (model = new DurationModel()));
    return model;
  }

  private meterOf(service: string): DemandMeter {
    let meter = this.meters.get(service);
    if (!meter) this.meters.set(service, (meter = new DemandMeter()));
    return meter;
  }

  private holdOf(service: string): PeakHold {
    let hold = this.holds.get(service);
    if (!hold)
      this.holds.set(service, (hold = new PeakHold(HOLD_MILLISECONDS)));
    return hold;
  }

  /** Millicores times milliseconds of all tasks of a job that end by themselves. */
  private workOf(job: JobSubmission): number {
    const durations = this.durationsOf(job.queue);
    return job.steps
      .filter(step => !step.longRunning && !step.bestEffort)
      .reduce(
        (sum, step) =>
          sum +
          step.taskCount *
            step.processorMillicores *
            durations.expected(step.estimatedMilliseconds),
        0,
      );
  }
}

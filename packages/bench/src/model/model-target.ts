import type {Clock, RandomSource} from '@gentiandoor/kernel';
import {OutcomeKind, type RoutableTarget} from '@gentiandoor/decisions';

/** How a simulated target handles requests. */
export enum TargetMode {
  Works = 'works',
  /** Fails every request after a millisecond. */
  FailsEverything = 'fails_everything',
  /** Refuses connections. */
  Unreachable = 'unreachable',
}

const FAST_FAILURE_MILLISECONDS = 1;

/** The amount of work in a request. */
export interface Work {
  /** Execution time on a target of normal speed. */
  readonly milliseconds: number;
}

/**
 * A simulated target: executes up to `slots` requests at a time and answers further ones as busy.
 */
export class ModelTarget {
  mode = TargetMode.Works;
  /** Multiplier for the execution time of requests that start from now on. */
  slowness = 1;
  /**
   * Share of a request's time added for each other running request, as contention for cold caches
   * causes.
   */
  contention = 0;
  /** Slot-milliseconds of finished requests. */
  slotMillisecondsUsed = 0;
  private running = 0;
  private readonly backlog: Array<() => void> = [];

  /** Up to `backlogLimit` requests wait inside the target when its slots are taken. */
  constructor(
    readonly routable: RoutableTarget,
    private readonly clock: Clock,
    private readonly backlogLimit: number,
    readonly dataCentre: number,
  ) {}

  begin(work: Work, done: (kind: OutcomeKind) => void): void {
    if (this.mode === TargetMode.Unreachable) {
      done(OutcomeKind.Unreachable);
      return;
    }
    if (this.running < this.routable.slots) this.execute(work, done);
    else if (this.backlog.length < this.backlogLimit)
      this.backlog.push(() => this.execute(work, done));
    else done(OutcomeKind.Busy);
  }

  private execute(work: Work, done: (kind: OutcomeKind) => void): void {
    const fails = this.mode === TargetMode.FailsEverything;
    const time = fails
      ? FAST_FAILURE_MILLISECONDS
      : work.milliseconds *
        this.slowness *
        (1 + this.contention * this.running);
    this.running++;
    this.clock.schedule(time, () => {
      this.running--;
      this.slotMillisecondsUsed += time;
      this.backlog.shift()?.();
      done(fails ? OutcomeKind.ServerError : OutcomeKind.Succeeded);
    });
  }
}

const SIGMA = 0.6;

/** Draws a log-normal execution time whose 99th percentile is 3.4 times the mean. */
export function drawWorkMilliseconds(
  random: RandomSource,
  meanMilliseconds: number,
): number {
  const first = 1 - random.nextFraction();
  const second = random.nextFraction();
  const normal =
    Math.sqrt(-2 * Math.log(first)) * Math.cos(2 * Math.PI * second);
  return meanMilliseconds * Math.exp(SIGMA * normal - (SIGMA * SIGMA) / 2);
}

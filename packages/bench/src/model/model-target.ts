import type {Clock, RandomSource} from '@gentiandoor/kernel';
import {OutcomeKind, type RoutableTarget} from '@gentiandoor/decisions';

/** What a modelled target does with work. */
export enum TargetMode {
  Works = 'works',
  /** Answers every request with an error after a millisecond. */
  FailsEverything = 'fails_everything',
  /** Refuses connections. */
  Unreachable = 'unreachable',
}

const FAST_FAILURE_MILLISECONDS = 1;

/** The work of one request. */
export interface Work {
  /** Milliseconds that a usual target needs. */
  readonly milliseconds: number;
}

/** A target: runs up to `slots` at one time and answers busy to more. */
export class ModelTarget {
  mode = TargetMode.Works;
  /** Multiplies the time of all work begun from now on. */
  slowness = 1;
  /** Adds this share of a request's time for each other that runs: cold caches contended for. */
  contention = 0;
  /** Slot-milliseconds of work ended. */
  slotMillisecondsUsed = 0;
  private running = 0;
  private readonly backlog: Array<() => void> = [];

  /** `backlogLimit` requests wait inside the target when its slots are taken. */
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

/** Times with a long tail around a mean: log-normal, the 99th percentile at 3.4 times the mean. */
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

import type {SeededRandom} from '@gentiandoor/kernel';
import {pause, type ObservedJob, type SoakCallers} from './soak-callers.js';
import type {SoakRequest} from './workload.js';

const CANCELLED_JOBS_EVERY = 2;
const LONGEST_DELAY_MILLISECONDS = 1_000;
const SHORTEST_STAY_MILLISECONDS = 20;
const LONGEST_STAY_MILLISECONDS = 500;
const MAXIMUM_ATTEMPTS = 4;

/** When a caller cancels its job. */
enum CancelMoment {
  BeforeAnswer,
  AfterAnswer,
  /** After it has closed the connection on which it submitted the job. */
  AfterLeaving,
}

/** Callers that cancel some jobs at any moment, some with a copy of the submission afterwards. */
export class CancellingCallers {
  constructor(
    private readonly callers: SoakCallers,
    /** Separate from that of the faults, which stay those of the seed. */
    private readonly random: SeededRandom,
  ) {}

  /** Returns whether the next job is to be cancelled. */
  picksNext(): boolean {
    return this.random.nextInteger(CANCELLED_JOBS_EVERY) === 0;
  }

  /** Submits a job and cancels it until that is answered. */
  async play(job: ObservedJob): Promise<void> {
    const moments = [
      CancelMoment.BeforeAnswer,
      CancelMoment.AfterAnswer,
      CancelMoment.AfterLeaving,
    ];
    const moment = moments[this.random.nextInteger(moments.length)];
    const hasCopy = this.random.nextInteger(2) === 0;
    const submitted = this.submit(job, moment);
    if (moment !== CancelMoment.BeforeAnswer) await submitted;
    await pause(this.random.nextInteger(LONGEST_DELAY_MILLISECONDS));
    for (let attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt++)
      if (job.cancelledAt === undefined) await this.callers.cancel(job);
    if (hasCopy) await this.callers.submitOnce(job);
    await submitted;
  }

  private submit(job: ObservedJob, moment: CancelMoment): Promise<unknown> {
    if (moment !== CancelMoment.AfterLeaving) return this.callers.submit(job);
    this.callers.jobs.push(job);
    const stay = this.random.nextInteger(LONGEST_STAY_MILLISECONDS);
    return this.callers.submitOnce(job, SHORTEST_STAY_MILLISECONDS + stay);
  }
}

/** Returns the request with tasks that only their cancellation ends. */
export function lasting({service, steps}: SoakRequest): SoakRequest {
  return {
    service,
    steps: steps.map(step => ({...step, durationMilliseconds: undefined})),
  };
}

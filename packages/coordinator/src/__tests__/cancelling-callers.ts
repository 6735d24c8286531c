import {SeededRandom, sleep} from '@gentiandoor/kernel';
import type {SubmitAnswer} from '../index.js';
import type {StartedRun} from '../stand-ins/index.js';
import {
  ANY_CALLER,
  type TestDaemon,
  type TestDeployment,
} from './deployment.js';

const CANCEL_BOUND_MILLISECONDS = 3_000;
/** A caller that has no answer by then cancels what it submitted. */
const LONGEST_WAIT_MILLISECONDS = 3_500;
const LONGEST_EARLY_DELAY_MILLISECONDS = 600;
const LONGEST_DELAY_MILLISECONDS = 2_000;
const RETRY_MILLISECONDS = 300;
const MAXIMUM_ATTEMPTS = 4;
/** No task starts later than this after the cancellation of its job was answered. */
const LATEST_START_MILLISECONDS = 4_000;

/** A job that a caller has submitted and is going to cancel. */
export interface CancelledSubmission {
  readonly id: string;
  /** Resolves with the answer to its submission, if there is one. */
  readonly answer: Promise<SubmitAnswer>;
  /** Submits a copy of it to a daemon. */
  readonly submitCopy: (daemon: TestDaemon) => void;
}

/**
 * Callers that cancel jobs at any daemon: before or after the answer to their submission, once
 * or twice, some with a copy of the submission that arrives afterwards.
 */
export class CancellingCallers {
  /** Time of the first answer to a cancellation, by job. */
  private readonly answeredAt = new Map<string, number>();

  constructor(
    private readonly deployment: TestDeployment,
    private readonly daemons: readonly TestDaemon[],
    private readonly random: SeededRandom,
  ) {}

  /** Number of jobs of which a cancellation was answered. */
  get answered(): number {
    return this.answeredAt.size;
  }

  /** Cancels a job at a random moment. */
  async cancel(submission: CancelledSubmission): Promise<void> {
    const {id, answer, submitCopy} = submission;
    const isEarly = this.random.nextInteger(2) === 0;
    const isRepeated = this.random.nextInteger(3) === 0;
    const hasCopy = this.random.nextInteger(2) === 0;
    if (isEarly) await this.pause(LONGEST_EARLY_DELAY_MILLISECONDS);
    else {
      const {clock} = this.deployment;
      await Promise.race([answer, sleep(clock, LONGEST_WAIT_MILLISECONDS)]);
      await this.pause(LONGEST_DELAY_MILLISECONDS);
    }
    await this.cancelUntilAnswered(id);
    if (hasCopy) {
      await this.pause(LONGEST_DELAY_MILLISECONDS);
      submitCopy(this.pickDaemon());
    }
    if (!isRepeated) return;
    await this.pause(LONGEST_DELAY_MILLISECONDS);
    await this.cancelUntilAnswered(id);
  }

  /** Describes the tasks that started or ran on after the cancellation of their job was answered. */
  violations(runs: readonly StartedRun[]): string[] {
    return runs.flatMap(run => {
      const at = this.answeredAt.get(run.task.split('.')[0]) ?? Infinity;
      const delay = run.startedAt - at;
      if (delay > LATEST_START_MILLISECONDS)
        return [`${run.task}: started ${delay} ms after its cancellation`];
      return at < Infinity && run.endedAt === undefined
        ? [`${run.task}: runs on, started ${delay} ms after its cancellation`]
        : [];
    });
  }

  /** Cancels at another daemon as long as the outcome is not certain. */
  private async cancelUntilAnswered(id: string): Promise<void> {
    for (let attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt++) {
      if (await this.cancelOnce(id)) return;
      await sleep(this.deployment.clock, RETRY_MILLISECONDS);
    }
  }

  private async cancelOnce(id: string): Promise<boolean> {
    const {clock} = this.deployment;
    // A killed daemon never answers.
    const result = await Promise.race([
      this.pickDaemon().jobIntake.cancel(
        id,
        CANCEL_BOUND_MILLISECONDS,
        ANY_CALLER,
      ),
      sleep(clock, LONGEST_WAIT_MILLISECONDS),
    ]);
    if (!result || result.kind === 'unavailable') return false;
    if (!this.answeredAt.has(id))
      this.answeredAt.set(id, clock.monotonicMilliseconds());
    return true;
  }

  private pause(longestMilliseconds: number): Promise<void> {
    const milliseconds = this.random.nextInteger(longestMilliseconds);
    return sleep(this.deployment.clock, milliseconds);
  }

  private pickDaemon(): TestDaemon {
    return this.daemons[this.random.nextInteger(this.daemons.length)];
  }
}

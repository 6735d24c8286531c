import {QUEUE_HOST} from '@gentiandoor/platform/stand-ins';
import {Agent, request} from 'undici';
import {encodeSteps, type SoakStep} from './workload.js';

/** The responses that callers received about a job. */
export interface ObservedJob {
  readonly id: string;
  readonly service: string;
  readonly steps: readonly SoakStep[];
  readonly statuses: number[];
  /** Attempts without a complete response. */
  unanswered: number;
  /** When a cancellation was first answered, also that there is no such job. */
  cancelledAt: number | undefined;
  /** Whether a cancellation was sent, with or without a response. */
  cancelTried: boolean;
  state: string | undefined;
}

/** Answers after which no task of a cancelled job may start or run on. */
const ACKNOWLEDGED_STATUSES = [200, 410];
const REQUEST_TIMEOUT_MILLISECONDS = 3_000;
const MAXIMUM_ATTEMPTS = 4;
const RETRY_PAUSE_MILLISECONDS = 400;
const LONGEST_START_MILLISECONDS = 30_000;

/** Returns the number of tasks of a job. */
export function taskCountOf({steps}: ObservedJob): number {
  return steps.reduce((count, {tasks}) => count + tasks, 0);
}

/** Returns whether a job ends only when its caller cancels it. */
export function isLongRunning({steps}: ObservedJob): boolean {
  return steps.some(
    ({durationMilliseconds}) => durationMilliseconds === undefined,
  );
}

/** Callers with keep-alive connections that retry at another daemon. */
export class SoakCallers {
  private readonly agent = new Agent({keepAliveTimeout: 30_000});
  readonly jobs: ObservedJob[] = [];

  constructor(private readonly pickAddress: () => string) {}

  /** Submits a job with up to four attempts, each at any daemon. */
  async submit(job: ObservedJob): Promise<void> {
    this.jobs.push(job);
    for (let attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt++) {
      if ((await this.submitOnce(job)) === 200) return;
      await pause(RETRY_PAUSE_MILLISECONDS);
    }
  }

  /** Submits a job with one attempt, which closes its connection after the time-out. */
  async submitOnce(
    job: ObservedJob,
    timeoutMilliseconds = REQUEST_TIMEOUT_MILLISECONDS,
  ): Promise<number | undefined> {
    const body = {spec: 'soak', steps: encodeSteps(job.steps)};
    const response = await this.call('POST', job, body, timeoutMilliseconds);
    if (response === undefined) job.unanswered++;
    else job.statuses.push(response.code);
    return response?.code;
  }

  async cancel(job: ObservedJob): Promise<void> {
    job.cancelTried = true;
    const response = await this.call('DELETE', job);
    if (response && ACKNOWLEDGED_STATUSES.includes(response.code))
      job.cancelledAt ??= performance.now();
  }

  /** Queries the state at any daemon; 410 for an accepted job is recorded as `absent`. */
  async queryState(job: ObservedJob): Promise<void> {
    const response = await this.call('GET', job);
    if (response?.code === 410) job.state = 'absent';
    if (response?.code === 200) job.state = response.state;
  }

  /** Resolves once a daemon answers, or after a while: a process may start slowly beside others. */
  async awaitAnswer(address: string): Promise<void> {
    const until = performance.now() + LONGEST_START_MILLISECONDS;
    while (performance.now() < until)
      try {
        const response = await request(`http://${address}/`, {
          dispatcher: this.agent,
        });
        await response.body.dump();
        return;
      } catch {
        // Nobody listens there yet.
        await pause(RETRY_PAUSE_MILLISECONDS);
      }
  }

  async stop(): Promise<void> {
    await this.agent.destroy();
  }

  private async call(
    method: 'POST' | 'GET' | 'DELETE',
    job: ObservedJob,
    body?: object,
    timeoutMilliseconds = REQUEST_TIMEOUT_MILLISECONDS,
  ): Promise<{code: number; state: string | undefined} | undefined> {
    try {
      const response = await request(
        `http://${this.pickAddress()}/${job.service}/${job.id}`,
        {
          method,
          dispatcher: this.agent,
          headers: {
            host: QUEUE_HOST,
            'x-deadline-ms': String(REQUEST_TIMEOUT_MILLISECONDS),
          },
          body: body && JSON.stringify(body),
          signal: AbortSignal.timeout(timeoutMilliseconds),
        },
      );
      const text = await response.body.text();
      const {state} = JSON.parse(text || '{}') as {state?: string};
      return {code: response.statusCode, state};
    } catch {
      // A missing response is an outcome that the check counts.
      return undefined;
    }
  }
}

/** Resolves after a time of the system clock. */
export function pause(milliseconds: number): Promise<void> {
  return new Promise(resolve => {
    setTimeout(resolve, milliseconds);
  });
}

import type {JobStreams} from '@gentiandoor/coordinator';
import {
  jitter,
  sleep,
  supervise,
  type Clock,
  type Logger,
  type Plugin,
  type RandomSource,
} from '@gentiandoor/kernel';

/**
 * Well below the time for which the store keeps records, so that a follower rarely has to start
 * over from the newest ones.
 */
const REFRESH_INTERVAL_MILLISECONDS = 2_000;

/** Keeps a daemon's job table up to date, so that it can answer and take over at once. */
export class JobTableRefreshPlugin implements Plugin {
  private stopping = false;

  constructor(
    private readonly jobs: JobStreams,
    private readonly clock: Clock,
    private readonly random: RandomSource,
    private readonly logger: Logger,
  ) {}

  async start(): Promise<void> {
    void supervise({
      name: 'job table',
      clock: this.clock,
      logger: this.logger,
      isStopped: () => this.stopping,
      run: () => this.run(),
    });
  }

  async stop(): Promise<void> {
    this.stopping = true;
  }

  private async run(): Promise<void> {
    while (!this.stopping) {
      await this.jobs.refreshStale();
      const wait = jitter(this.random, REFRESH_INTERVAL_MILLISECONDS);
      await sleep(this.clock, wait);
    }
  }
}

import {LogEvent, type Logger} from '@gentiandoor/kernel';
import {runName} from './live-run.js';
import {
  isUnanswered,
  type ListedRun,
  type OrderResult,
} from './worker-gateway.js';

/** Sends the order to stop a run. */
export type StopOrder = (run: ListedRun) => Promise<OrderResult>;

/**
 * Stops runs on one worker that nobody expects there: they stem from earlier orders and
 * must not continue.
 */
export class UnexpectedRuns {
  private readonly stopping = new Set<string>();
  private listed = 0;

  constructor(
    private readonly stopOrder: StopOrder,
    private readonly logger: Logger,
  ) {}

  /**
   * Whether the worker listed any when it was last polled; they occupy capacity until
   * they end.
   */
  get areListed(): boolean {
    return this.listed > 0;
  }

  /** Called before the runs of a new list are passed in. */
  beginList(): void {
    this.listed = 0;
  }

  /**
   * Stops a listed run. If the order got no response, it is sent again when the run is
   * listed again.
   */
  async stop(worker: string, listed: ListedRun): Promise<void> {
    this.listed++;
    const name = runName(listed);
    if (this.stopping.has(name)) return;
    this.stopping.add(name);
    this.logger.warn(LogEvent.RunStopped, {
      worker,
      task: listed.task,
      run: listed.run,
      reason: 'not expected',
    });
    const result = await this.stopOrder(listed);
    if (isUnanswered(result)) this.stopping.delete(name);
  }
}

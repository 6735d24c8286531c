import {LogEvent, type Logger} from '@gentiandoor/kernel';
import {runName} from './live-run.js';
import {
  isUnanswered,
  type ListedRun,
  type OrderResult,
} from './worker-gateway.js';

/** Orders to one worker at the same time; further runs wait for their turn. */
const MAXIMUM_STOPS_IN_FLIGHT = 100;

/** Sends the order to stop a run. */
export type StopOrder = (run: ListedRun) => Promise<OrderResult>;

/**
 * Stops runs on one worker that nobody expects there: they stem from earlier orders and
 * must not continue.
 */
export class UnexpectedRuns {
  /** Runs whose stop is in flight or was answered, as long as they are listed. */
  private readonly stopping = new Set<string>();
  private listedNames = new Set<string>();
  /** Runs of the latest list that wait until fewer orders are in flight. */
  private waiting: ListedRun[] = [];
  private inFlight = 0;
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
    for (const name of this.stopping)
      if (!this.listedNames.has(name)) this.stopping.delete(name);
    this.listedNames = new Set();
    this.listed = 0;
    this.waiting = [];
  }

  /**
   * Stops a listed run. If the order got no response, it is sent again when the run is
   * listed again.
   */
  async stop(worker: string, listed: ListedRun): Promise<void> {
    this.listed++;
    this.listedNames.add(runName(listed));
    if (this.inFlight < MAXIMUM_STOPS_IN_FLIGHT)
      await this.sendStops(worker, listed);
    else this.waiting.push(listed);
  }

  /** Stops a run and then, one by one, those that wait. */
  private async sendStops(worker: string, first: ListedRun): Promise<void> {
    this.inFlight++;
    let next: ListedRun | undefined = first;
    while (next) {
      if (!this.stopping.has(runName(next))) await this.sendStop(worker, next);
      next = this.waiting.shift();
    }
    this.inFlight--;
  }

  private async sendStop(worker: string, listed: ListedRun): Promise<void> {
    const name = runName(listed);
    this.stopping.add(name);
    this.logger.warn(LogEvent.RunStopped, {
      worker,
      task: listed.task,
      run: listed.run,
      reason: 'not expected',
    });
    const result = await this.stopOrder(listed);
    if (!isUnanswered(result)) return;
    this.stopping.delete(name);
    // The others would wait for the same response; they are stopped when they are listed again.
    this.waiting = [];
  }
}

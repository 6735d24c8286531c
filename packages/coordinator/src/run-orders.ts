import {sleep, type Clock} from '@gentiandoor/kernel';
import {RunStatus, type LiveRun} from './live-run.js';
import {
  OrderOutcome,
  type OrderRefusal,
  type OrderResult,
  type WorkerEntry,
  type WorkerGateway,
} from './worker-gateway.js';
import type {WorkerLiveness} from './worker-liveness.js';

/** What orders about runs need of their session. */
export interface RunOrderHost {
  readonly term: number;
  readonly entry: WorkerEntry;
  /** How long any worker may take to answer a call that does not wait there. */
  readonly responseTimeoutMilliseconds: number;
  /** Whether the run may be alive here, as far as is known. */
  isExpected(run: LiveRun): boolean;
  /** Whether the worker still has room for a run that was placed there. */
  hasCapacityFor(run: LiveRun): boolean;
  /** Waits while the term is being renewed; false when the session is over. */
  waitUntilAllowed(): Promise<boolean>;
  /** Asks for an answer beside the poll that waits. */
  probe(): Promise<void>;
  /** A call that does not wait there was answered; it was sent at `sentAt`. */
  noteResponseTime(sentAt: number): void;
  noteAnswer(clockMilliseconds: number): void;
  /** Whether an answer was a refusal that concerns the whole session, which it then has dealt with. */
  handledRefusal(result: OrderResult): boolean;
  /** The order to start never went out. */
  runNeverStarted(run: LiveRun): void;
  startRefused(run: LiveRun, refusal: OrderRefusal): void;
  /** The fate of a run can be read with the next poll. */
  outcomeReadable(): void;
}

const RETRY_MILLISECONDS = 200;
const MAXIMUM_START_ATTEMPTS = 3;

/** Orders to start and stop runs on one worker, each until its fate is known. */
export class RunOrders {
  constructor(
    private readonly host: RunOrderHost,
    private readonly liveness: WorkerLiveness,
    private readonly gateway: WorkerGateway,
    private readonly clock: Clock,
  ) {}

  /** Sends the order to start. */
  async start(run: LiveRun): Promise<void> {
    for (let attempt = 0; attempt < MAXIMUM_START_ATTEMPTS; attempt++) {
      if (!this.host.isExpected(run)) return;
      if (run.stopRequested && attempt === 0) {
        this.host.runNeverStarted(run);
        return;
      }
      if (!(await this.host.waitUntilAllowed())) return;
      if (!this.host.hasCapacityFor(run)) {
        if (attempt > 0) break;
        this.host.runNeverStarted(run);
        return;
      }
      if (await this.sendStart(run, attempt > 0)) return;
      await sleep(this.clock, RETRY_MILLISECONDS);
    }
    // Not answered, or without room by now: it may still be carried out. A stop that is answered bars it for good.
    void this.stop(run);
  }

  /** Asks the worker to stop a run. */
  async stop(run: LiveRun): Promise<void> {
    if (run.stopRequested) return;
    run.stopRequested = true;
    if (run.status === RunStatus.Planned) return;
    while (this.host.isExpected(run)) {
      if (!(await this.host.waitUntilAllowed())) return;
      const {entry, term} = this.host;
      const result = await this.gateway.stop(entry, run, term);
      if (result.outcome !== OrderOutcome.Unknown) {
        if (this.host.handledRefusal(result)) return;
        run.orderAnsweredAt = this.clock.monotonicMilliseconds();
        this.host.outcomeReadable();
        return;
      }
      await sleep(this.clock, RETRY_MILLISECONDS);
    }
  }

  /** True when nothing is to be sent any more. */
  private async sendStart(run: LiveRun, retried: boolean): Promise<boolean> {
    const now = this.clock.monotonicMilliseconds();
    run.status = RunStatus.Ordered;
    run.orderedAt ??= now;
    const result = await this.call(run, now);
    if (result.outcome !== OrderOutcome.Unknown)
      this.host.noteResponseTime(now);
    if (!this.host.isExpected(run)) return true;
    if (result.outcome === OrderOutcome.Unknown) return false;
    if (this.host.handledRefusal(result)) return true;
    if (result.outcome === OrderOutcome.Done) {
      this.host.noteAnswer(result.clockMilliseconds);
      run.status = RunStatus.Confirmed;
      run.orderAnsweredAt = this.clock.monotonicMilliseconds();
      run.startConfirmedAt = run.orderAnsweredAt;
      this.host.outcomeReadable();
      return true;
    }
    // A refusal of a second try says nothing of the first, which may still be carried out.
    if (retried) void this.stop(run);
    else this.host.startRefused(run, result.refusal);
    return true;
  }

  private async call(run: LiveRun, now: number): Promise<OrderResult> {
    const doubt = this.clock.schedule(
      this.host.responseTimeoutMilliseconds,
      () => void this.host.probe(),
    );
    const result = await this.gateway.start(this.host.entry, {
      task: run.task,
      run: run.run,
      payload: run.execution.job.payload,
      leaseEndMilliseconds: this.liveness.grantLease(now),
      fencingToken: this.host.term,
      checkpoint: run.executableTask.progress.checkpoint,
      ticket: run.ticket,
    });
    doubt.cancel();
    return result;
  }
}

import {sleep, type Clock} from '@gentiandoor/kernel';
import {mayRunInParallel} from './carried-runs.js';
import {RunStatus, type LiveRun} from './live-run.js';
import {
  OrderOutcome,
  OrderRefusal,
  isUnanswered,
  type CallFailure,
  type OrderResult,
  type WorkerEntry,
  type WorkerGateway,
} from './worker-gateway.js';
import {reportsStart} from './worker-incarnation.js';
import type {WorkerLiveness} from './worker-liveness.js';

/** What run orders need from their session. */
export interface RunOrderHost {
  readonly term: number;
  readonly entry: WorkerEntry;
  /** Timeout of a worker's response to a call that does not wait on the worker. */
  readonly responseTimeoutMilliseconds: number;
  /** Returns whether the run may be alive on this worker, as far as is known. */
  isExpected(run: LiveRun): boolean;
  /** Returns whether the worker still has capacity for a run that was placed on it. */
  hasCapacityFor(run: LiveRun): boolean;
  /** Waits while the term is being renewed; resolves to false if the session is over. */
  waitUntilAllowed(): Promise<boolean>;
  /** Polls the worker without waiting, in parallel to a pending long poll. */
  probe(): Promise<void>;
  /** Polls the worker without waiting; resolves to whether it responded. */
  isResponding(): Promise<boolean>;
  /**
   * Records that a call, sent at `sentAt`, that does not wait on the worker got its
   * response.
   */
  noteResponseTime(sentAt: number): void;
  noteAnswer(clockMilliseconds: number): void;
  /** Records that the start order of a run was carried out. */
  noteStartExecuted(run: LiveRun): void;
  /** A start order was sent and got no response, or was not sent. */
  startUnanswered(run: LiveRun, failure: CallFailure): void;
  /**
   * Returns whether a result was a refusal that concerns the whole session, and handles
   * it if so.
   */
  handledRefusal(result: OrderResult): boolean;
  /** The start order was never sent. */
  runNeverStarted(run: LiveRun): void;
  startRefused(run: LiveRun, refusal: OrderRefusal): void;
  /** The outcome of a run can be read with the next poll. */
  outcomeReadable(): void;
}

const RETRY_MILLISECONDS = 200;
const MAXIMUM_START_ATTEMPTS = 3;

/** Sends orders to start and stop runs on one worker, each until its outcome is known. */
export class RunOrders {
  constructor(
    private readonly host: RunOrderHost,
    private readonly liveness: WorkerLiveness,
    private readonly gateway: WorkerGateway,
    private readonly clock: Clock,
  ) {}

  /**
   * Orders the worker to start a run, and again if it does not respond. A worker that may restart
   * under its id is sent a single order, unless the task may run in parallel: a copy that is still
   * in transit when the run has ended would start it again on the next incarnation. Polls show the
   * outcome.
   */
  async start(run: LiveRun): Promise<void> {
    if (!(await this.isReadyForStart(run))) {
      this.release(run);
      return;
    }
    for (let attempt = 0; attempt < MAXIMUM_START_ATTEMPTS; attempt++) {
      if (!(await this.host.waitUntilAllowed())) return;
      if (!this.host.isExpected(run)) return;
      if (run.stopRequested) {
        // Once an order has been sent, the stop is sent as well.
        if (attempt === 0) this.host.runNeverStarted(run);
        return;
      }
      if (!this.host.hasCapacityFor(run)) {
        if (attempt > 0) break;
        this.host.runNeverStarted(run);
        return;
      }
      if (await this.sendStart(run, attempt > 0)) return;
      if (run.listedAt !== undefined || this.hasSingleOrder(run)) return;
      await sleep(this.clock, RETRY_MILLISECONDS);
    }
    await this.stopUnlessStarted(run);
  }

  /**
   * Orders the worker to stop a run, retrying until it responds. The start order of a planned run
   * has not been sent, and will not be.
   */
  async stop(run: LiveRun): Promise<void> {
    if (run.stopRequested || !this.host.isExpected(run)) return;
    run.stopRequested = true;
    if (run.status === RunStatus.Planned) return;
    while (this.host.isExpected(run)) {
      if (!(await this.host.waitUntilAllowed())) return;
      const {entry, term} = this.host;
      const result = await this.gateway.stop(entry, run, term);
      if (!isUnanswered(result)) {
        if (this.host.handledRefusal(result)) return;
        // The worker may have restarted since: its answer says nothing about the run,
        // which the next incarnation may still start.
        if (!this.host.isExpected(run)) return;
        run.orderAnsweredAt = this.clock.monotonicMilliseconds();
        this.host.outcomeReadable();
        return;
      }
      await sleep(this.clock, RETRY_MILLISECONDS);
    }
  }

  private hasSingleOrder(run: LiveRun): boolean {
    return reportsStart(this.host.entry) && !mayRunInParallel(run);
  }

  /**
   * Resolves to whether the order of a run may be sent. If a worker crashes and the order got no
   * response, the task may have crashed it. So a task under which workers have crashed is ordered
   * only on a worker that has just responded: one that was gone before must not count against it.
   */
  private async isReadyForStart(run: LiveRun): Promise<boolean> {
    if (run.executableTask.progress.crashes.total === 0) return true;
    return (await this.host.waitUntilAllowed()) && this.host.isResponding();
  }

  /** Sends one start order. Resolves to true if no further attempt is needed. */
  private async sendStart(run: LiveRun, retried: boolean): Promise<boolean> {
    const now = this.clock.monotonicMilliseconds();
    run.status = RunStatus.Ordered;
    run.orderedAt ??= now;
    run.startSentAt = now;
    const result = await this.requestStart(run, now);
    if (!isUnanswered(result)) this.host.noteResponseTime(now);
    if (!this.host.isExpected(run)) return true;
    if (isUnanswered(result)) {
      // The order may have left late: the process was frozen, or the connection was slow.
      run.startSentAt = this.clock.monotonicMilliseconds();
      this.host.startUnanswered(run, result);
      // If it is a retry, the first attempt may still be carried out.
      if (result.outcome === OrderOutcome.Unknown || retried) return false;
      await this.releaseUnsent(run);
      return true;
    }
    // The worker at this address is another one, which did not carry the order out.
    if (isOtherIncarnation(result)) run.status = RunStatus.Planned;
    if (this.host.handledRefusal(result)) return true;
    if (result.outcome === OrderOutcome.Done) {
      this.host.noteAnswer(result.clockMilliseconds);
      this.host.noteStartExecuted(run);
      run.status = RunStatus.Confirmed;
      run.orderAnsweredAt = this.clock.monotonicMilliseconds();
      run.startConfirmedAt = run.orderAnsweredAt;
      this.host.outcomeReadable();
      return true;
    }
    if (retried) void this.stopUnlessStarted(run);
    else this.host.startRefused(run, result.refusal);
    return true;
  }

  /**
   * Stops a run whose orders got no response, so that its task can run elsewhere: after a stop that
   * is answered, none of them is carried out any more. A run that the worker already lists goes on.
   */
  private async stopUnlessStarted(run: LiveRun): Promise<void> {
    await this.host.isResponding();
    if (run.listedAt === undefined) void this.stop(run);
  }

  /**
   * Frees the task of a run whose order was not sent, once it is known whether the worker responds;
   * until then the task would be placed there again.
   */
  private async releaseUnsent(run: LiveRun): Promise<void> {
    run.status = RunStatus.Planned;
    await this.host.isResponding();
    this.release(run);
  }

  private release(run: LiveRun): void {
    if (this.host.isExpected(run)) this.host.runNeverStarted(run);
  }

  private async requestStart(run: LiveRun, now: number): Promise<OrderResult> {
    const probeTimer = this.clock.schedule(
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
    probeTimer.cancel();
    return result;
  }
}

function isOtherIncarnation(result: OrderResult): boolean {
  return (
    result.outcome === OrderOutcome.Refused &&
    result.refusal === OrderRefusal.OtherIncarnation
  );
}

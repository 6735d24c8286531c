import {logTaskFailure, type Logger} from '@gentiandoor/kernel';
import {
  OrderOutcome,
  type CallFailure,
  type OrderResult,
  type PollRequest,
  type PollResult,
  type RunName,
  type StartRequest,
  type WorkerAddress,
  type WorkerGateway,
} from './worker-gateway.js';

/**
 * Calls workers through another gateway. A call that throws counts as one without a response, so
 * that a failure with one worker does not end the coordinator of all others.
 */
export class ContainedWorkerGateway implements WorkerGateway {
  constructor(
    private readonly gateway: WorkerGateway,
    private readonly logger: Logger,
  ) {}

  poll(worker: WorkerAddress, request: PollRequest): Promise<PollResult> {
    return this.contain('poll', worker, () =>
      this.gateway.poll(worker, request),
    );
  }

  start(worker: WorkerAddress, request: StartRequest): Promise<OrderResult> {
    return this.contain('start order', worker, () =>
      this.gateway.start(worker, request),
    );
  }

  stop(
    worker: WorkerAddress,
    run: RunName,
    fencingToken: number,
  ): Promise<OrderResult> {
    return this.contain('stop order', worker, () =>
      this.gateway.stop(worker, run, fencingToken),
    );
  }

  throttle(
    worker: WorkerAddress,
    run: RunName,
    percent: number,
    fencingToken: number,
  ): Promise<OrderResult> {
    return this.contain('throttle order', worker, () =>
      this.gateway.throttle(worker, run, percent, fencingToken),
    );
  }

  closeConnections(worker: WorkerAddress): void {
    this.gateway.closeConnections(worker);
  }

  private async contain<Result>(
    task: string,
    {id}: WorkerAddress,
    call: () => Promise<Result>,
  ): Promise<Result | CallFailure> {
    try {
      return await call();
    } catch (error) {
      logTaskFailure(this.logger, task, {worker: id}, error);
      return {outcome: OrderOutcome.Unknown, reason: String(error)};
    }
  }
}

import {
  OrderOutcome,
  OrderRefusal,
  type PollRequest,
  type PollResult,
  type OrderResult,
  type RunName,
  type StartRequest,
  type WorkerAddress,
  type WorkerGateway,
} from '../index.js';
import {sleep, type Clock} from '@gentiandoor/kernel';
import type {SimulatedWorker} from './simulated-worker.js';

/** Faults of the way to one worker that a test switches on. */
export enum WorkerFault {
  /** Nothing comes through. */
  Cut = 'cut',
  /** Starts get no answer and are carried out later. */
  StartsLate = 'starts_late',
  /** Starts are carried out and their answers are lost. */
  AnswersLost = 'answers_lost',
  /** It says that it is not well. */
  Unhealthy = 'unhealthy',
}

const ANSWER_MILLISECONDS = 2;
const SILENCE_MILLISECONDS = 800;
/** How much later a late start is carried out. */
const LATE_MILLISECONDS = 2_500;

/** All workers of a test. */
export class SimulatedWorkers {
  readonly byAddress = new Map<string, SimulatedWorker>();

  constructor(readonly clock: Clock) {}

  add(worker: SimulatedWorker): SimulatedWorker {
    this.byAddress.set(worker.id, worker);
    return worker;
  }

  /** The workers as one daemon reaches them, with faults of its own. */
  connect(): WorkerConnection {
    return new WorkerConnection(this);
  }
}

/** One daemon's way to the workers. */
export class WorkerConnection implements WorkerGateway {
  private readonly faults = new Map<string, WorkerFault>();
  /** Polls made, by worker. */
  readonly polls = new Map<string, number>();

  constructor(private readonly workers: SimulatedWorkers) {}

  /** Switches a fault of the way to `workerId` on, or all off. */
  setFault(workerId: string, fault: WorkerFault | undefined): void {
    if (fault === undefined) this.faults.delete(workerId);
    else this.faults.set(workerId, fault);
  }

  async poll(worker: WorkerAddress, request: PollRequest): Promise<PollResult> {
    this.polls.set(worker.id, (this.polls.get(worker.id) ?? 0) + 1);
    const target = await this.reach(worker);
    if (!target) return this.silence(request.boundMilliseconds);
    return target.poll(request);
  }

  async start(
    worker: WorkerAddress,
    request: StartRequest,
  ): Promise<OrderResult> {
    const fault = this.faults.get(worker.id);
    const target = await this.reach(worker);
    if (!target) return this.silence();
    if (fault === WorkerFault.Unhealthy)
      return {
        outcome: OrderOutcome.Refused,
        refusal: OrderRefusal.Unhealthy,
      };
    if (fault === WorkerFault.StartsLate) {
      this.workers.clock.schedule(LATE_MILLISECONDS, () =>
        target.start(request),
      );
      return this.silence();
    }
    const result = target.start(request);
    return fault === WorkerFault.AnswersLost ? this.silence() : result;
  }

  async stop(
    worker: WorkerAddress,
    run: RunName,
    fencingToken: number,
  ): Promise<OrderResult> {
    const target = await this.reach(worker);
    return target ? target.stop(run, fencingToken) : this.silence();
  }

  async pace(
    worker: WorkerAddress,
    run: RunName,
    percent: number,
    fencingToken: number,
  ): Promise<OrderResult> {
    const target = await this.reach(worker);
    return target ? target.pace(run, percent, fencingToken) : this.silence();
  }

  forget(): void {}

  private async reach(
    worker: WorkerAddress,
  ): Promise<SimulatedWorker | undefined> {
    await sleep(this.workers.clock, ANSWER_MILLISECONDS);
    if (this.faults.get(worker.id) === WorkerFault.Cut) return undefined;
    const target = this.workers.byAddress.get(worker.address);
    return target && !target.isDead ? target : undefined;
  }

  private async silence(boundMilliseconds = SILENCE_MILLISECONDS): Promise<{
    readonly outcome: OrderOutcome.Unknown;
    readonly reason: string;
  }> {
    await sleep(this.workers.clock, boundMilliseconds);
    return {outcome: OrderOutcome.Unknown, reason: 'silent'};
  }
}

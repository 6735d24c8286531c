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
import {SimulatedLink} from './simulated-link.js';
import type {SimulatedWorker} from './simulated-worker.js';

/** Faults of the connection to one worker that a test can inject. */
export enum WorkerFault {
  /** No call reaches the worker. */
  Cut = 'cut',
  /** Starts get no response and are carried out later. */
  StartsLate = 'starts_late',
  /** Starts are carried out and their responses are lost. */
  AnswersLost = 'answers_lost',
  /** Stops do not reach the worker. */
  StopsLost = 'stops_lost',
  /** The worker reports that it is unhealthy. */
  Unhealthy = 'unhealthy',
}

const ANSWER_MILLISECONDS = 2;
const SILENCE_MILLISECONDS = 800;
/** Bytes of a call on a daemon's link, in both directions, including message headers. */
const POLL_BYTES = 600;
const ORDER_BYTES = 1_100;
/** Delay of a late start. */
const LATE_MILLISECONDS = 2_500;

/** All workers of a test. */
export class SimulatedWorkers {
  readonly byAddress = new Map<string, SimulatedWorker>();
  /** Every incarnation of every worker. */
  readonly incarnations: SimulatedWorker[] = [];

  constructor(readonly clock: Clock) {}

  add(worker: SimulatedWorker): SimulatedWorker {
    this.byAddress.set(worker.id, worker);
    this.incarnations.push(worker);
    return worker;
  }

  /** Returns a connection of one daemon to the workers, with faults of its own. */
  connect(link = new SimulatedLink(this.clock)): WorkerConnection {
    return new WorkerConnection(this, link);
  }
}

/** The connection of one daemon to the workers. */
export class WorkerConnection implements WorkerGateway {
  private readonly faults = new Map<string, WorkerFault>();
  /** Response time of all workers for this daemon. */
  answerMilliseconds = ANSWER_MILLISECONDS;
  /** Time that start orders wait in this daemon before they leave. */
  departureMilliseconds = 0;
  /** Number of polls, by worker. */
  readonly polls = new Map<string, number>();

  constructor(
    private readonly workers: SimulatedWorkers,
    private readonly link: SimulatedLink,
  ) {}

  /** Injects a fault of the connection to `workerId`, or clears it. */
  setFault(workerId: string, fault: WorkerFault | undefined): void {
    if (fault === undefined) this.faults.delete(workerId);
    else this.faults.set(workerId, fault);
  }

  async poll(worker: WorkerAddress, request: PollRequest): Promise<PollResult> {
    const {instance} = worker;
    this.polls.set(instance, (this.polls.get(instance) ?? 0) + 1);
    const timeoutMilliseconds =
      request.timeoutMilliseconds ?? SILENCE_MILLISECONDS;
    const target = await this.reach(worker, POLL_BYTES, timeoutMilliseconds);
    const result = await target?.poll(request);
    // A worker that crashed during a long poll does not respond.
    if (!result || target?.isDead) return silent();
    // Another incarnation executes the poll all the same; only its answer reveals it.
    if (target && target.incarnation !== worker.id)
      return {
        outcome: OrderOutcome.Refused,
        refusal: OrderRefusal.OtherIncarnation,
      };
    return result;
  }

  async start(
    worker: WorkerAddress,
    request: StartRequest,
  ): Promise<OrderResult> {
    const fault = this.faults.get(worker.instance);
    if (this.departureMilliseconds > 0)
      await sleep(this.workers.clock, this.departureMilliseconds);
    const target = await this.reach(worker, ORDER_BYTES);
    if (!target) return silent();
    if (fault === WorkerFault.Unhealthy)
      return {
        outcome: OrderOutcome.Refused,
        refusal: OrderRefusal.Unhealthy,
      };
    if (fault === WorkerFault.StartsLate) {
      // The order names the worker and not its incarnation, so a later incarnation under
      // the same id carries it out.
      this.workers.clock.schedule(LATE_MILLISECONDS, () =>
        this.workers.byAddress.get(worker.address)?.start(request),
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
    const target = await this.reach(worker, POLL_BYTES);
    if (this.faults.get(worker.instance) === WorkerFault.StopsLost)
      return this.silence();
    return target ? target.stop(run, fencingToken) : silent();
  }

  async throttle(
    worker: WorkerAddress,
    run: RunName,
    percent: number,
    fencingToken: number,
  ): Promise<OrderResult> {
    const target = await this.reach(worker, POLL_BYTES);
    return target ? target.throttle(run, percent, fencingToken) : silent();
  }

  closeConnections(): void {}

  /**
   * Returns the worker that the call reaches; resolves to undefined after
   * `timeoutMilliseconds` if there is no response in time.
   */
  private async reach(
    worker: WorkerAddress,
    bytes: number,
    timeoutMilliseconds = SILENCE_MILLISECONDS,
  ): Promise<SimulatedWorker | undefined> {
    const {clock} = this.workers;
    const responseMilliseconds =
      this.link.reserve(bytes) + this.answerMilliseconds;
    await sleep(clock, Math.min(responseMilliseconds, timeoutMilliseconds));
    const target = this.workers.byAddress.get(worker.address);
    const isCut = this.faults.get(worker.instance) === WorkerFault.Cut;
    if (
      target &&
      !target.isDead &&
      !isCut &&
      responseMilliseconds <= timeoutMilliseconds
    )
      return target;
    await sleep(clock, Math.max(0, timeoutMilliseconds - responseMilliseconds));
    return undefined;
  }

  private async silence(): Promise<Silence> {
    await sleep(this.workers.clock, SILENCE_MILLISECONDS);
    return silent();
  }
}

interface Silence {
  readonly outcome: OrderOutcome.Unknown;
  readonly reason: string;
}

function silent(): Silence {
  return {outcome: OrderOutcome.Unknown, reason: 'silent'};
}

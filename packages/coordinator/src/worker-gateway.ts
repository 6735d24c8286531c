import type {RunEnd} from '@gentiandoor/jobs';
import type {Resources} from '@gentiandoor/organisations';

export type {Resources} from '@gentiandoor/organisations';

/** State that a worker reports. */
export enum WorkerState {
  Ready = 'ready',
  Draining = 'draining',
}

/** Entry that a worker publishes about itself. */
export interface WorkerEntry {
  /** Identifies one incarnation of the worker. */
  readonly id: string;
  /** The worker's own id, which it keeps when it restarts. */
  readonly instance: string;
  readonly service: string;
  readonly address: string;
  readonly dataCentre: string;
  readonly state: WorkerState;
  readonly capacity: Resources;
  readonly labels: readonly string[];
  /** Rises with each entry of an incarnation; undefined where entries are not numbered. */
  readonly sequence?: number;
}

/** Identifies a run on a worker. */
export interface RunName {
  /** Name of the task, unique among all jobs. */
  readonly task: string;
  readonly run: number;
}

/** A run that a worker lists as alive. */
export interface ListedRun extends RunName {
  readonly checkpoint: string;
  readonly percent: number;
  /**
   * Rough load of the last half second: tail latency in milliseconds for a task that
   * serves, millicores in use for another.
   */
  readonly load: number;
}

/** A run that a worker lists as ended. */
export interface EndedRun extends RunName {
  /** Increases by one with each end in one incarnation of the worker. */
  readonly number: number;
  readonly end: RunEnd;
  readonly checkpoint: string;
}

/** Why a worker refused an order. */
export enum OrderRefusal {
  /** The worker has seen a higher fencing token. */
  Fenced = 'fenced',
  /** The worker has seen this run or a later one of the task. */
  StaleRun = 'old_run',
  /** The lease had already expired. */
  LeaseExpired = 'late',
  InsufficientCapacity = 'no_room',
  /** The ticket of the advice service is missing or too old. */
  NoTicket = 'no_ticket',
  /** The worker reports that it is unhealthy; it has done nothing. */
  Unhealthy = 'unhealthy',
  /** The worker could not parse the order. */
  Malformed = 'malformed',
  /**
   * Another incarnation of a worker responds at this address: the addressed one is over.
   */
  OtherIncarnation = 'other_incarnation',
}

/** Outcome of an order. */
export enum OrderOutcome {
  Done = 'done',
  Refused = 'refused',
  /** No connection was made: the order is never carried out. */
  NotSent = 'not_sent',
  /** No response: the order may have been carried out, and may still be. */
  Unknown = 'unknown',
}

/** A call without a response. */
export interface CallFailure {
  readonly outcome: OrderOutcome.NotSent | OrderOutcome.Unknown;
  readonly reason: string;
}

/** Response to an order. */
export type OrderResult =
  | {readonly outcome: OrderOutcome.Done; readonly clockMilliseconds: number}
  | {readonly outcome: OrderOutcome.Refused; readonly refusal: OrderRefusal}
  | CallFailure;

/** Response to a poll. */
export type PollResult =
  | {
      readonly outcome: OrderOutcome.Done;
      readonly clockMilliseconds: number;
      readonly running: readonly ListedRun[];
      readonly ended: readonly EndedRun[];
    }
  | {readonly outcome: OrderOutcome.Refused; readonly refusal: OrderRefusal}
  | CallFailure;

/** Returns whether a call got no response, whether or not it was sent. */
export function isUnanswered(
  result: OrderResult | PollResult,
): result is CallFailure {
  return (
    result.outcome === OrderOutcome.NotSent ||
    result.outcome === OrderOutcome.Unknown
  );
}

/** Identifies a worker as the target of calls. */
export interface WorkerAddress {
  /** Identifies one incarnation of the worker. */
  readonly id: string;
  /** The worker's own id, which it keeps when it restarts. */
  readonly instance: string;
  readonly address: string;
}

/** A poll of a worker, which also renews its lease. */
export interface PollRequest {
  readonly fencingToken: number;
  /** Ends up to this number are stored, so the worker may forget them. */
  readonly acknowledgedEnd: number;
  /** End of the lease on the worker's clock; undefined leaves the lease unchanged. */
  readonly leaseEndMilliseconds?: number;
  /** How long the response may wait for a run to end. */
  readonly waitMilliseconds: number;
  /** Timeout of the response beyond that wait; the gateway's default if undefined. */
  readonly timeoutMilliseconds?: number;
}

/** An order to start a run. */
export interface StartRequest extends RunName {
  readonly payload: string;
  readonly leaseEndMilliseconds: number;
  readonly fencingToken: number;
  readonly checkpoint: string;
  /** Ticket of the advice service; empty if the queue has none. */
  readonly ticket: string;
}

/** Calls workers. Each call completes within a bounded time. */
export interface WorkerGateway {
  poll(worker: WorkerAddress, request: PollRequest): Promise<PollResult>;
  start(worker: WorkerAddress, request: StartRequest): Promise<OrderResult>;
  stop(
    worker: WorkerAddress,
    run: RunName,
    fencingToken: number,
  ): Promise<OrderResult>;
  /** Limits a run to `percent` of its speed. */
  throttle(
    worker: WorkerAddress,
    run: RunName,
    percent: number,
    fencingToken: number,
  ): Promise<OrderResult>;
  /** Closes the connections to a worker that is gone. */
  closeConnections(worker: WorkerAddress): void;
}

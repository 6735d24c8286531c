import type {RunEnd} from '@gentiandoor/jobs';

/** State that a worker gives itself. */
export enum WorkerState {
  Ready = 'ready',
  Draining = 'draining',
}

/** Room of a worker, or what a task takes of it. */
export interface Resources {
  readonly processorMillicores: number;
  readonly memoryMegabytes: number;
  readonly accelerators: number;
}

/** What a worker says of itself. */
export interface WorkerEntry {
  /** Names one incarnation of the worker. */
  readonly id: string;
  readonly service: string;
  readonly address: string;
  readonly dataCentre: string;
  readonly state: WorkerState;
  readonly capacity: Resources;
  readonly labels: readonly string[];
}

/** Names a run on a worker. */
export interface RunName {
  /** Name of the task among all jobs. */
  readonly task: string;
  readonly run: number;
}

/** A run that a worker lists as alive. */
export interface ListedRun extends RunName {
  readonly checkpoint: string;
  readonly percent: number;
  /** Rough figure of the last half second: tail in milliseconds for a task that serves, millicores in use for another. */
  readonly load: number;
}

/** A run that a worker lists as ended. */
export interface EndedRun extends RunName {
  /** Rises by one with each end in one incarnation of the worker. */
  readonly number: number;
  readonly end: RunEnd;
  readonly checkpoint: string;
}

/** Why a worker did not take an order. */
export enum OrderRefusal {
  /** It has seen a higher fencing token. */
  Fenced = 'fenced',
  /** It has seen this run or a later one of the task. */
  StaleRun = 'old_run',
  /** The lease had already run out. */
  LeaseExpired = 'late',
  InsufficientCapacity = 'no_room',
  /** The ticket of the advice is missing or too old. */
  NoTicket = 'no_ticket',
  /** It says that it is not well; it has done nothing. */
  Unhealthy = 'unhealthy',
  /** It could not read the order. */
  Malformed = 'malformed',
  /** Another incarnation of a worker answers at this address: the one meant is over. */
  OtherIncarnation = 'other_incarnation',
}

/** What became of an order. */
export enum OrderOutcome {
  Done = 'done',
  Refused = 'refused',
  /** No answer: it may have been done, and may still be. */
  Unknown = 'unknown',
}

/** Answer to an order. */
export type OrderResult =
  | {readonly outcome: OrderOutcome.Done; readonly clockMilliseconds: number}
  | {readonly outcome: OrderOutcome.Refused; readonly refusal: OrderRefusal}
  | {readonly outcome: OrderOutcome.Unknown; readonly reason: string};

/** Answer to a poll. */
export type PollResult =
  | {
      readonly outcome: OrderOutcome.Done;
      readonly clockMilliseconds: number;
      readonly running: readonly ListedRun[];
      readonly ended: readonly EndedRun[];
    }
  | {readonly outcome: OrderOutcome.Refused; readonly refusal: OrderRefusal}
  | {readonly outcome: OrderOutcome.Unknown; readonly reason: string};

/** A worker as the target of calls. */
export interface WorkerAddress {
  readonly id: string;
  readonly address: string;
}

/** A poll at a worker, which also renews its lease. */
export interface PollRequest {
  readonly fencingToken: number;
  /** Ends up to this number are stored and may be forgotten. */
  readonly acknowledgedEnd: number;
  /** End of the lease on the worker's clock; undefined leaves it. */
  readonly leaseEndMilliseconds?: number;
  /** The answer waits so long for an end. */
  readonly waitMilliseconds: number;
  /** Bound of the answer beyond that; the gateway's own where undefined. */
  readonly timeoutMilliseconds?: number;
}

/** An order to start a run. */
export interface StartRequest extends RunName {
  readonly payload: string;
  readonly leaseEndMilliseconds: number;
  readonly fencingToken: number;
  readonly checkpoint: string;
  /** Ticket of the advice service; empty where the queue has none. */
  readonly ticket: string;
}

/** Calls to workers. Each ends within a bounded time. */
export interface WorkerGateway {
  poll(worker: WorkerAddress, request: PollRequest): Promise<PollResult>;
  start(worker: WorkerAddress, request: StartRequest): Promise<OrderResult>;
  stop(
    worker: WorkerAddress,
    run: RunName,
    fencingToken: number,
  ): Promise<OrderResult>;
  /** Lets a run work at `percent` of its speed. */
  throttle(
    worker: WorkerAddress,
    run: RunName,
    percent: number,
    fencingToken: number,
  ): Promise<OrderResult>;
  /** Closes the connections to a worker that is gone. */
  forget(worker: WorkerAddress): void;
}

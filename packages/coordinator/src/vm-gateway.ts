import type {Resources} from './worker-gateway.js';

/** State of a VM. */
export enum VmState {
  Up = 'up',
  Moving = 'moving',
  Maintenance = 'maintenance',
  Down = 'down',
}

/** A VM as the platform lists it. */
export interface ListedVm {
  readonly name: string;
  /** Service whose pool it is in. */
  readonly pool: string;
  readonly state: VmState;
  readonly dataCentre: string;
  readonly labels: readonly string[];
  readonly capacity: Resources;
  /** The incarnation of the worker that runs on it; empty while none does. */
  readonly workerId: string;
}

/** What became of an order about a VM. */
export enum VmOrderOutcome {
  /** It is done, now or before. */
  Done = 'done',
  /** A later holder has ordered; give no more orders about this VM under the same token. */
  Fenced = 'fenced',
  /** Not up, or leaving. */
  Busy = 'busy',
  /** It can never be done: no such VM, pool of other VMs, or not of that wave. */
  Impossible = 'impossible',
  /** Nothing was done; try later. */
  Refused = 'refused',
  /** No answer: it may have been done. */
  Unknown = 'unknown',
}

/** Who gives an order about a VM. */
export interface OrderHolder {
  readonly name: string;
  readonly fencingToken: number;
}

/** The platform's list of VMs and the orders about them. Each call ends within a bounded time. */
export interface VmGateway {
  /** All VMs; undefined when the list could not be read whole. */
  list(): Promise<readonly ListedVm[] | undefined>;
  move(vm: string, pool: string, holder: OrderHolder): Promise<VmOrderOutcome>;
  maintain(
    vm: string,
    wave: number,
    holder: OrderHolder,
  ): Promise<VmOrderOutcome>;
}

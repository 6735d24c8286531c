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
  /** Service whose pool contains the VM. */
  readonly pool: string;
  readonly state: VmState;
  readonly dataCentre: string;
  readonly labels: readonly string[];
  readonly capacity: Resources;
  /** Incarnation of the worker that runs on the VM; empty if there is none. */
  readonly workerId: string;
}

/** Outcome of an order about a VM. */
export enum VmOrderOutcome {
  /** The order is carried out, by this call or an earlier one. */
  Done = 'done',
  /**
   * A later holder has given an order; no more orders about this VM may be sent with the
   * same token.
   */
  Fenced = 'fenced',
  /** The VM is not up, or is leaving. */
  Busy = 'busy',
  /**
   * The order can never be carried out: the VM does not exist, the pool is one of other
   * VMs, or the VM is not part of the wave.
   */
  Impossible = 'impossible',
  /** Nothing was done; the order may be sent again later. */
  Refused = 'refused',
  /** No response: the order may have been carried out. */
  Unknown = 'unknown',
}

/** The daemon that gives an order about a VM. */
export interface OrderHolder {
  readonly name: string;
  readonly fencingToken: number;
}

/**
 * Lists the platform's VMs and sends orders about them. Each call completes within a
 * bounded time.
 */
export interface VmGateway {
  /** Returns all VMs; undefined if the list could not be read completely. */
  list(): Promise<readonly ListedVm[] | undefined>;
  move(vm: string, pool: string, holder: OrderHolder): Promise<VmOrderOutcome>;
  maintain(
    vm: string,
    wave: number,
    holder: OrderHolder,
  ): Promise<VmOrderOutcome>;
}

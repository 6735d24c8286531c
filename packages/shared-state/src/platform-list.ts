/** State of a VM in the platform's list. */
export enum ListedState {
  Live = 'live',
  Leaving = 'leaving',
}

/** One VM as the platform lists it. */
export interface ListedVm {
  readonly id: string;
  /** IP address and port of the service on the VM. */
  readonly address: string;
  readonly dataCentre: string;
  readonly rack: string;
  readonly state: ListedState;
}

/** The platform's list of VMs, which may be out of date. */
export interface VmList {
  /** Returns the VMs by id, as of the last read. */
  current(): ReadonlyMap<string, ListedVm>;
  /** Returns the milliseconds since the list was last read; Infinity before the first read. */
  ageMilliseconds(): number;
  onChange(listener: () => void): void;
}

/** State of a VM in the platform's list. */
export enum ListedState {
  Live = 'live',
  Leaving = 'leaving',
}

/** One VM as the platform lists it. */
export interface ListedVm {
  readonly id: string;
  /** IP number and port of the VM's service. */
  readonly address: string;
  readonly dataCentre: string;
  readonly rack: string;
  readonly state: ListedState;
}

/** The platform's list of VMs; it lags. */
export interface VmList {
  /** VMs by id, as last read. */
  current(): ReadonlyMap<string, ListedVm>;
  /** Milliseconds since the list was last read; Infinity before the first time. */
  ageMilliseconds(): number;
  onChange(listener: () => void): void;
}

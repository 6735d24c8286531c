/** What the platform tells a daemon of itself and of the deployment. */
export interface EntrySettings {
  /** Name of this daemon's VM; the same after a restart. */
  readonly node: string;
  readonly dataCentre: string;
  /** The whole system starts for the first time, all daemons at once. */
  readonly isFirstStart: boolean;
  /** Size of this daemon's VM. */
  readonly size: VmSize;
  /** Addresses to listen on. */
  readonly callerAddress: string;
  readonly readinessAddress: string;
  readonly storeAddress: string;
  readonly machineListAddress: string;
  readonly adviceAddress: string;
  readonly limits: PlatformLimits;
}

/** What a daemon's VM may use. */
export interface VmSize {
  /** Processor cores. */
  readonly cores: number;
  /** Bandwidth of its own link in megabits a second. */
  readonly megabitsPerSecond: number;
}

/** Times that the platform fixes, in milliseconds. */
export interface PlatformLimits {
  /** Longest lease that a worker takes. */
  readonly maximumLease: number;
  /** A configuration must be in force within this. */
  readonly configurationInForce: number;
  /** Bounds are longer by so much at most while the store serves only some daemons. */
  readonly stretch: number;
  /** After this a cancelled job must have nothing running. */
  readonly cancel: number;
  /** Planned work may keep a task away so long before it counts as missing. */
  readonly notice: number;
  /** Orders about one VM by another holder wait so long. */
  readonly holderChange: number;
  /** From a termination signal to the kill. */
  readonly grace: number;
  /** A final state stays to be asked for so long. */
  readonly stateKept: number;
  /** A pool change and a maintenance take so long. */
  readonly move: number;
  readonly maintenance: number;
  /** A worker takes so long at most to stop a run. */
  readonly stop: number;
  /** A task may stay over its response time target so long. */
  readonly harm: number;
}

/** Settings that the platform passes to a daemon. */
export interface EntrySettings {
  /** Name of this daemon's VM; the same after a restart. */
  readonly node: string;
  readonly dataCentre: string;
  /** Whether the whole system starts for the first time, all daemons at once. */
  readonly isFirstStart: boolean;
  /** Size of this daemon's VM. */
  readonly size: VmSize;
  readonly processLimits: ProcessLimits;
  /** Addresses to listen on. */
  readonly callerAddress: string;
  readonly readinessAddress: string;
  readonly storeAddress: string;
  /** Largest record that the store accepts. */
  readonly storeRecordBytes: number;
  readonly machineListAddress: string;
  readonly adviceAddress: string;
  readonly limits: PlatformLimits;
  readonly features: DeploymentFeatures;
}

/** Features that a deployment asks for. */
export interface DeploymentFeatures {
  /** Refuse jobs that cannot be done while they are of use. */
  readonly admissionControl: boolean;
  /** Stop runs for more urgent work. */
  readonly preemption: boolean;
}

/** Resources that a daemon's VM may use. */
export interface VmSize {
  /** Processor cores. */
  readonly cores: number;
  /** Bandwidth of its network link in megabits per second. */
  readonly megabitsPerSecond: number;
}

/** Limits beyond which the platform ends a process or opens no more for it. */
export interface ProcessLimits {
  readonly memoryBytes: number;
  /** Open files, sockets and pipes. */
  readonly descriptors: number;
}

/** Time limits set by the platform, in milliseconds. */
export interface PlatformLimits {
  /** Longest lease that a worker accepts. */
  readonly maximumLeaseMilliseconds: number;
  /** Time within which a new configuration must be in force. */
  readonly configurationInForceMilliseconds: number;
  /** Maximum extension of the limits while the store serves only some of the daemons. */
  readonly extensionMilliseconds: number;
  /** Time after which no task of a cancelled job may be running. */
  readonly cancelMilliseconds: number;
  /** How long planned work may keep a task from running before it counts as missing. */
  readonly noticeMilliseconds: number;
  /** How long orders about a VM must wait when they come from another holder than earlier ones. */
  readonly holderChangeMilliseconds: number;
  /** Grace period between the termination signal and the kill. */
  readonly gracePeriodMilliseconds: number;
  /** How long the final state of a job must remain available. */
  readonly stateRetentionMilliseconds: number;
  /** Duration of a pool change (`move`) and of a maintenance (`maintenance`). */
  readonly moveMilliseconds: number;
  readonly maintenanceMilliseconds: number;
  /** Longest time that a worker takes to stop a run. */
  readonly stopMilliseconds: number;
  /** How long a task may exceed its response time target. */
  readonly maximumTargetMissMilliseconds: number;
  /** Interval at which a checkpointing task saves its progress. */
  readonly checkpointIntervalMilliseconds: number;
  /** How long a task takes to continue from a checkpoint. */
  readonly restoreMilliseconds: number;
}

import type {OrganisationList} from '@gentiandoor/organisations';

/** A queue in the configuration. */
export interface Queue {
  readonly name: string;
  readonly host: string;
  readonly pathPrefix: string;
  /** Name of the service whose workers run its tasks. */
  readonly service: string;
  /** Lower values are more urgent; 0 is the most urgent. */
  readonly priority: number;
  readonly maximumAttempts: number;
  /**
   * Latency objective of a job: this factor times its critical path, plus `latencyMilliseconds`.
   */
  readonly stretch: number;
  readonly latencyMilliseconds: number;
  readonly timeoutMilliseconds: number;
  /**
   * How long a worker recommended by the advice service may be used; 0 if the queue needs no
   * advice.
   */
  readonly adviceValidMilliseconds: number;
  /** Whether callers need no key. */
  readonly isPublic: boolean;
}

/** A service in the configuration: a pool of VMs. */
export interface ServicePool {
  readonly name: string;
  /** Whether its VMs are off and cost nothing. */
  readonly standby: boolean;
  /** Whether its workers refuse tasks that exceed their capacity. */
  readonly enforcesCapacity: boolean;
  readonly healthPath: string;
}

/** A part of a configuration that can't be read, for example a queue. */
export interface RejectedPart {
  readonly part: string;
  readonly reason: string;
}

/** Configuration published by the operators. */
export interface Configuration {
  readonly version: number;
  readonly queues: readonly Queue[];
  readonly services: readonly ServicePool[];
  /** Undefined in a deployment without organisations, whose queues are open to all callers. */
  readonly organisations: OrganisationList | undefined;
  readonly maximumBodyBytes: number;
  /** Parts that are not in force. */
  readonly rejected?: readonly RejectedPart[];
}

/** A maintenance wave requested by the operators. */
export interface MaintenanceWave {
  readonly number: number;
  readonly vms: readonly string[];
  readonly durationMilliseconds: number;
  /** Maximum number of VMs in maintenance at the same time. */
  readonly maximumAtOnce: number;
}

/** A decoded record of the operators' stream. */
export type OperatorRecord =
  | {readonly kind: 'configuration'; readonly configuration: Configuration}
  | {readonly kind: 'wave'; readonly wave: MaintenanceWave};

/** State of a wave as reported to operators. */
export enum WaveState {
  Running = 'running',
  Completed = 'completed',
}

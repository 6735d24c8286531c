import type {OrganisationList} from '@gentiandoor/organisations';

/** A queue of the configuration. */
export interface Queue {
  readonly name: string;
  readonly host: string;
  readonly pathPrefix: string;
  /** Service whose workers run its tasks. */
  readonly service: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly maximumAttempts: number;
  /** Objective of a job: so many times its longest chain of work, and `latencyMilliseconds` more. */
  readonly stretch: number;
  readonly latencyMilliseconds: number;
  readonly timeoutMilliseconds: number;
  /** Milliseconds for which an advised worker may be used; 0 where the queue needs no advice. */
  readonly adviceValidMilliseconds: number;
  /** Its callers need no key. */
  readonly isPublic: boolean;
}

/** A service of the configuration: a pool of VMs. */
export interface ServicePool {
  readonly name: string;
  /** Its VMs are off and cost nothing. */
  readonly standby: boolean;
  /** Its workers refuse what does not fit. */
  readonly enforcesCapacity: boolean;
  readonly healthPath: string;
}

/** The configuration that operators published. */
export interface Configuration {
  readonly version: number;
  readonly queues: readonly Queue[];
  readonly services: readonly ServicePool[];
  /** Undefined in a deployment that knows no organisations: its queues are open to all. */
  readonly organisations: OrganisationList | undefined;
  readonly maximumBodyBytes: number;
}

/** A wave of maintenance that operators ask for. */
export interface MaintenanceWave {
  readonly number: number;
  readonly vms: readonly string[];
  readonly durationMilliseconds: number;
  /** Most VMs in maintenance at the same time. */
  readonly maximumAtOnce: number;
}

/** A record of the operators. */
export type OperatorRecord =
  | {readonly kind: 'configuration'; readonly configuration: Configuration}
  | {readonly kind: 'wave'; readonly wave: MaintenanceWave};

/** State of a wave that operators are shown. */
export enum WaveState {
  Running = 'running',
  Completed = 'completed',
}

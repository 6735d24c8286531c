import type {ArrivalRates} from '@gentiandoor/admission';
import type {ExecutableTask, JobExecution} from '@gentiandoor/jobs';
import type {PlacementCandidate} from './waiting-jobs.js';
import type {WorkerHandle} from './worker-handle.js';

/** Work of one service that waits for capacity. */
export interface ServiceWaitingWork {
  readonly service: string;
  /** Workers that accept starts. */
  readonly sessions: readonly WorkerHandle[];
  /** Millicores of VMs that are being moved into the pool. */
  readonly incomingMillicores: number;
  /** Time since which some VM is being moved into the pool. */
  readonly incomingSince: number;
  readonly jobs: readonly PlacementCandidate[];
}

/** Read access to the work that waits for capacity. */
export interface WaitingWorkSource {
  /** Returns the services with waiting work, as of their latest placement rounds. */
  waitingWork(): readonly ServiceWaitingWork[];
  /** Returns the rates at which jobs of a service are submitted. */
  arrivalsOf(service: string): ArrivalRates;
  /** Returns the expected millicore-milliseconds of a task. */
  taskWork(execution: JobExecution, task: ExecutableTask): number;
}

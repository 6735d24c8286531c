import type {LogFields} from '@gentiandoor/kernel';
import type {
  ExecutableTask,
  JobExecution,
  StepSpecification,
} from '@gentiandoor/jobs';
import type {PoolShares, Resources} from '@gentiandoor/organisations';
import type {LiveRun} from './live-run.js';
import type {Queue} from './operator-records.js';
import type {WorkerSession} from './worker-session.js';

/** Functions of the coordinator that a dispatcher calls. */
export interface DispatchHost {
  readonly term: number;
  /** Whether a configuration is known, which says what may be started where and how often. */
  readonly isConfigured: boolean;
  sessionsOf(service: string): readonly WorkerSession[];
  queueOf(execution: JobExecution): Queue | undefined;
  /**
   * Whether `count` more orders may be sent now; beyond the limit they would only queue at this
   * daemon.
   */
  mayOrder(count: number): boolean;
  /** Whether the limit of the job's organisation allows these tasks to start together. */
  organisationLimitAllows(
    execution: JobExecution,
    tasks: readonly ExecutableTask[],
    service: string,
  ): boolean;
  /**
   * Whether a VM of the fleet could run a task of `step`, as far as is known; VMs of the pool `except`
   * do not count.
   */
  fleetCanRun(step: StepSpecification, except?: string): boolean;
  /** Shares of organisations in the pool of a service, including at least those in `waiting`. */
  poolShares(
    service: string,
    waiting: ReadonlySet<string>,
    pool: Resources,
  ): PoolShares;
  /** Called when a part of a placement round fails unexpectedly; `fields` say which. */
  placementFailed(fields: LogFields, error: unknown): void;
  /** Stores the run, then sends its order. */
  launch(session: WorkerSession, run: LiveRun): void;
}

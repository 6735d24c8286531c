import type {Resources} from '@gentiandoor/organisations';

/** A run that may be stopped for more urgent work. */
export interface PreemptibleRun {
  /** Name of its task, unique among all jobs. */
  readonly task: string;
  readonly worker: string;
  /** Resources that become free when it ends. */
  readonly resources: Resources;
  /** Priority of its queue; 0 is the most urgent. */
  readonly priority: number;
  readonly isCheckpointing: boolean;
  readonly isLongRunning: boolean;
  readonly isGangMember: boolean;
  /** Upper limit of the work that a stop loses, in milliseconds. */
  readonly unsavedMilliseconds: number;
  readonly ageMilliseconds: number;
  readonly expectedMilliseconds: number;
  readonly progressPercent: number;
  /** Whether anybody still waits for the result of its job. */
  readonly hasValue: boolean;
  /** Whether its job has missed its objective. */
  readonly isLate: boolean;
  /** Whether its job exceeds the entitlement of its organisation. */
  readonly isExcess: boolean;
  /** How often its task was stopped for other work before. */
  readonly preemptions: number;
}

/** Tasks of a job that can still be in time, which start together and find no capacity. */
export interface PreemptionRequest {
  readonly job: string;
  /** Identifies the step of the tasks; requests of one step differ at most in their workers. */
  readonly stepKey: string;
  /** Priority of its queue; 0 is the most urgent. */
  readonly priority: number;
  readonly isExcess: boolean;
  /** Whether less urgent work that can be in time goes ahead of it. */
  readonly isPostponed: boolean;
  /** Resources of each waiting task. */
  readonly tasks: readonly Resources[];
  /** Workers that could take the tasks if they had enough free resources. */
  readonly workers: ReadonlySet<string>;
  /** Millicore-milliseconds of work that are in time only if the tasks start now. */
  readonly gainedMillicoreMilliseconds: number;
}

/** Resources of a worker on which tasks may start. */
export interface PreemptionWorker {
  readonly id: string;
  /** What is free now, and what runs that are being stopped will release. */
  readonly free: Resources;
}

/** The pool in which tasks wait. */
export interface PreemptionPool {
  readonly service: string;
  readonly capacityMillicores: number;
  /** Runs that are not being stopped already. */
  readonly runs: readonly PreemptibleRun[];
  readonly workers: readonly PreemptionWorker[];
}

/** Why a run may be stopped. */
export enum PreemptionReason {
  /** Nobody waits for the result of its job any more. */
  WithoutValue = 'without_value',
  /** Its job has missed its objective. */
  Late = 'late',
  /** Its job exceeds the entitlement of its organisation. */
  Excess = 'excess',
  /** Its queue is less urgent. */
  LessUrgent = 'less_urgent',
}

/** A run to stop, and why. */
export interface Preemption {
  readonly task: string;
  readonly worker: string;
  readonly lostMillicoreMilliseconds: number;
  readonly reason: PreemptionReason;
}

/** The runs to stop for one request. */
export interface PreemptionDecision {
  readonly request: PreemptionRequest;
  readonly preemptions: readonly Preemption[];
}

/** The outcome of one round. */
export interface PreemptionChoice {
  readonly decisions: readonly PreemptionDecision[];
  /** Whether a request was not met only because the budget is spent. */
  readonly isBudgetExhausted: boolean;
}

/** Chooses runs to stop for waiting work. */
export interface PreemptionPolicy {
  /**
   * Returns the runs to stop at `now` (monotonic milliseconds) for `requests`, which are in the
   * order in which they get capacity.
   */
  choose(
    requests: readonly PreemptionRequest[],
    pool: PreemptionPool,
    now: number,
  ): PreemptionChoice;
}

/** Never stops a run. */
export class NoPreemption implements PreemptionPolicy {
  choose(): PreemptionChoice {
    return {decisions: [], isBudgetExhausted: false};
  }
}

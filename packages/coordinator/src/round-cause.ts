/** What caused a placement round of a service. */
export enum RoundCause {
  JobAdded = 'job_added',
  RunEnded = 'run_ended',
  /** A worker accepts starts again, or has grown. */
  WorkerChanged = 'worker_changed',
  ConfigurationChanged = 'configuration_changed',
  /** Fewer orders are in flight, or more are allowed. */
  OrdersAllowed = 'orders_allowed',
  OrganisationBelowLimit = 'organisation_below_limit',
  PreemptionCheck = 'preemption_check',
  /** A condition that kept a task waiting has ended with time. */
  ConditionLapsed = 'condition_lapsed',
  /** Work stood although no event had announced a round. */
  Reconciliation = 'reconciliation',
  /** A scheduled job is due. */
  JobDue = 'job_due',
}

/** Schedules a placement round for a service. */
export type SchedulePlacement = (service: string, cause: RoundCause) => void;

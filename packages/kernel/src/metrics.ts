/** Names of all metrics; a test checks that docs/metrics.md matches this list. */
export enum MetricName {
  /** Requests by service and result. */
  Requests = 'requests',
  /** Requests that ended with an error, by error kind. */
  Refusals = 'refusals',
  /** Connections closed on arrival because the port was at its connection limit, by port. */
  ConnectionsRefused = 'connections_refused',
  /** Retries by reason. */
  Retries = 'retries',
  /** Failed attempts that were not retried, by reason. */
  RetriesDenied = 'retries_denied',
  /** Exchanges sent to another data centre, by reason. */
  Spills = 'spills',
  /** VMs ejected or reinstated, by new standing. */
  StandingChanges = 'standing_changes',
  /** Milliseconds from a request's head to the end of its response. */
  RequestDuration = 'request_duration',
  /** Requests waiting for a slot, by service. */
  QueueLength = 'queue_length',
  /** Exchanges in flight, by service. */
  InFlight = 'in_flight',
  LogAppends = 'log_appends',
  LogAppendFailures = 'log_append_failures',
  LogAppendRefusals = 'log_append_refusals',
  LogReads = 'log_reads',
  LogReadFailures = 'log_read_failures',
  RecordsApplied = 'records_applied',
  RecordsRejected = 'records_rejected',
  StateHashDifferences = 'state_hash_differences',
  BundleAlarms = 'bundle_alarms',
  PeerMessages = 'peer_messages',
  PeerDisconnects = 'peer_disconnects',
  PeerMessagesDropped = 'peer_messages_dropped',
  /** Requests with an idempotency key, by decision: run, replayed or an error kind. */
  KeyedRequests = 'keyed_requests',
  /** Claims of idempotency keys that are retained. */
  ClaimsKept = 'claims_kept',
  /** Bytes of responses held for replay. */
  HeldAnswerBytes = 'held_answer_bytes',
  EventLoopDelay = 'event_loop_delay',
  /** Responses to job submissions, by result. */
  JobSubmissions = 'job_submissions',
  /** Responses to job submissions, by organisation and result. */
  OrganisationJobs = 'organisation_jobs',
  /** Responses to requests to cancel a job, by result and basis. */
  JobCancellations = 'job_cancellations',
  /** Calls whose caller left before the response, by method. */
  CallersLeft = 'callers_left',
  /** Calls that were rejected, by reason. */
  CallsRefused = 'calls_refused',
  /** Jobs beyond the rate that their organisation is entitled to, by organisation. */
  OrganisationExcessJobs = 'organisation_excess_jobs',
  /** Jobs refused under overload, by reason. */
  AdmissionRefusals = 'admission_refusals',
  /** Accepted jobs that ended, or were cancelled, after three times their objective. */
  JobsExpired = 'jobs_expired',
  /** Reports about waiting work that the coordinator sent, by outcome. */
  PressureReports = 'pressure_reports',
  /** Reports about waiting work that a daemon did not use, by reason. */
  PressureReportsIgnored = 'pressure_reports_ignored',
  /** Millicores of running work, by organisation. */
  OrganisationMillicores = 'organisation_millicores',
  /** Milliseconds from a job submission to its response. */
  JobIntakeDuration = 'job_intake_duration',
  /** Jobs that ended, by final state. */
  JobEnds = 'job_ends',
  /** Runs that ended, by how they ended. */
  RunEnds = 'run_ends',
  /** Run starts that workers refused, by reason. */
  RunRefusals = 'run_refusals',
  /** Runs that stalled: they made no progress and were stopped. */
  RunsStalled = 'runs_stalled',
  TasksGivenUp = 'tasks_given_up',
  /** Runs chosen to be stopped for more urgent work, by reason. */
  Preemptions = 'preemptions',
  /** Chosen runs that were not stopped after all, by reason. */
  PreemptionsWithdrawn = 'preemptions_withdrawn',
  /** Rounds in which the preemption budget kept runs from being stopped. */
  PreemptionBudgetExhausted = 'preemption_budget_exhausted',
  /** Workers that restarted under their id. */
  WorkerRestarts = 'worker_restarts',
  /** Runs kept for the next incarnation of their worker, which may still start them. */
  RunsCarriedOver = 'runs_carried_over',
  /** Start orders that got no response and may still be carried out. */
  StartsUnanswered = 'starts_unanswered',
  /** Start orders that were never sent, because no connection to the worker was made. */
  StartsNotSent = 'starts_not_sent',
  /** Entries of workers that were not used, by reason. */
  WorkerEntriesRejected = 'worker_entries_rejected',
  /** Milliseconds from the choice of a worker to the order that starts the run. */
  RunWaitDuration = 'run_wait_duration',
  /** Orders to move or maintain VMs, by order and outcome. */
  VmOrders = 'vm_orders',
  /** Placement rounds, by cause. */
  PlacementRounds = 'placement_rounds',
  /** Ready tasks that the last placement round of a service left, by reason. */
  TasksWaiting = 'tasks_waiting',
  /** Milliseconds for which ready tasks of a service have stood. */
  WorkStanding = 'work_standing',
  /** Tasks placed by a round that no event had announced, by service. */
  TasksOverlooked = 'tasks_overlooked',
  /** Milliseconds for which progress has waited to be stored. */
  ProgressStoreWait = 'progress_store_wait',
  /** Coordinator terms that this daemon acquired. */
  TermsTaken = 'terms_taken',
}

/** Labels of one metric. */
export type MetricTags = Readonly<Record<string, string>>;

/** Records counters, gauges and timings. */
export interface Metrics {
  increment(name: MetricName, tags?: MetricTags, by?: number): void;
  gauge(name: MetricName, value: number, tags?: MetricTags): void;
  /** Records one observation of a duration. */
  timing(name: MetricName, milliseconds: number, tags?: MetricTags): void;
}

/** Keeps counters and gauges in memory, for tests and the admin port. */
export class MemoryMetrics implements Metrics {
  private readonly values = new Map<string, number>();

  increment(name: MetricName, tags: MetricTags = {}, by = 1): void {
    const key = metricKey(name, tags);
    this.values.set(key, (this.values.get(key) ?? 0) + by);
  }

  gauge(name: MetricName, value: number, tags: MetricTags = {}): void {
    this.values.set(metricKey(name, tags), value);
  }

  timing(name: MetricName, _milliseconds: number, tags: MetricTags = {}): void {
    this.increment(name, tags);
  }

  /** Returns the value of a counter or gauge; 0 if it was never set. */
  value(name: MetricName, tags: MetricTags = {}): number {
    return this.values.get(metricKey(name, tags)) ?? 0;
  }

  /** Returns all values, keyed by `name{tag=value}`. */
  snapshot(): Record<string, number> {
    return Object.fromEntries(
      [...this.values].sort(([a], [b]) => (a < b ? -1 : 1)),
    );
  }
}

function metricKey(name: MetricName, tags: MetricTags): string {
  const parts = Object.keys(tags)
    .sort()
    .map(tag => `${tag}=${tags[tag]}`);
  return parts.length > 0 ? `${name}{${parts.join(',')}}` : name;
}

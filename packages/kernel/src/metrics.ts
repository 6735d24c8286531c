/** Names of all metrics; docs/metrics.md is held against this by a test. */
export enum MetricName {
  /** Requests by service and result. */
  Requests = 'requests',
  /** Refusals by error kind. */
  Refusals = 'refusals',
  /** Connections closed at once because the port had too many, by port. */
  ConnectionsRefused = 'connections_refused',
  /** Retries by reason. */
  Retries = 'retries',
  /** Failed attempts that were not sent again, by the verdict. */
  RetriesDenied = 'retries_denied',
  /** Exchanges sent to another data centre, by reason. */
  Spills = 'spills',
  /** VMs ejected or brought back, by new standing. */
  StandingChanges = 'standing_changes',
  /** Milliseconds from a request's head to the end of its answer. */
  RequestDuration = 'request_duration',
  /** Requests that wait, by service. */
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
  /** Keyed requests by what was decided: run, replayed or an error kind. */
  KeyedRequests = 'keyed_requests',
  /** Claims of keys that are remembered. */
  ClaimsKept = 'claims_kept',
  /** Bytes of answers held for replay. */
  HeldAnswerBytes = 'held_answer_bytes',
  EventLoopDelay = 'event_loop_delay',
  /** Answers to submissions, by answer. */
  JobSubmissions = 'job_submissions',
  /** Answers to submissions, by organisation and answer. */
  OrganisationJobs = 'organisation_jobs',
  /** Calls that were not let in, by reason. */
  CallsRefused = 'calls_refused',
  /** Millicores of work under way, by organisation. */
  OrganisationMillicores = 'organisation_millicores',
  /** Milliseconds from a submission to its answer. */
  JobIntakeDuration = 'job_intake_duration',
  /** Jobs that came to their end, by state. */
  JobEnds = 'job_ends',
  /** Runs that are over, by how they ended. */
  RunEnds = 'run_ends',
  /** Starts that workers refused, by reason. */
  RunRefusals = 'run_refusals',
  /** Runs that stood still. */
  RunsStalled = 'runs_stalled',
  TasksGivenUp = 'tasks_given_up',
  /** Milliseconds from a task's turn to the order to start it. */
  RunWaitDuration = 'run_wait_duration',
  /** Orders about VMs, by order and outcome. */
  VmOrders = 'vm_orders',
  /** Terms that this daemon took. */
  TermsTaken = 'terms_taken',
}

/** Labels of one metric. */
export type MetricTags = Readonly<Record<string, string>>;

/** Counters, gauges and timings. */
export interface Metrics {
  increment(name: MetricName, tags?: MetricTags, by?: number): void;
  gauge(name: MetricName, value: number, tags?: MetricTags): void;
  /** `milliseconds` of one observation. */
  timing(name: MetricName, milliseconds: number, tags?: MetricTags): void;
}

/** Keeps counters and gauges in memory: for tests and the admin port. */
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

  /** The value of one counter or gauge; 0 where it was never set. */
  value(name: MetricName, tags: MetricTags = {}): number {
    return this.values.get(metricKey(name, tags)) ?? 0;
  }

  /** All values by `name{tag=value}`. */
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

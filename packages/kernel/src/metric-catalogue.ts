import {MetricName} from './metrics.js';

/** Kinds of metrics. */
export enum MetricType {
  Counter = 'counter',
  Gauge = 'gauge',
  Timing = 'timing',
}

/** Type, tags and meaning of a metric. */
export interface MetricEntry {
  readonly type: MetricType;
  /** Names of its tags. */
  readonly tags: readonly string[];
  readonly meaning: string;
}

function counter(meaning: string, ...tags: string[]): MetricEntry {
  return {type: MetricType.Counter, tags, meaning};
}

function gauge(meaning: string, ...tags: string[]): MetricEntry {
  return {type: MetricType.Gauge, tags, meaning};
}

function timing(meaning: string, ...tags: string[]): MetricEntry {
  return {type: MetricType.Timing, tags, meaning};
}

/** Catalogue of metrics, from which docs/metrics.md is written. */
export const METRIC_CATALOGUE: Readonly<Record<MetricName, MetricEntry>> = {
  [MetricName.Requests]: counter('requests answered whole', 'service'),
  [MetricName.Refusals]: counter(
    'requests that ended in an error kind of docs/errors.md',
    'reason',
  ),
  [MetricName.ConnectionsRefused]: counter(
    'connections closed at once because the port, caller or admin, had too many',
    'port',
  ),
  [MetricName.Retries]: counter('requests sent to a second target', 'reason'),
  [MetricName.RetriesDenied]: counter(
    'failed attempts that were not sent again',
    'reason',
  ),
  [MetricName.Spills]: counter(
    'exchanges sent to another data centre because the own had no room',
    'reason',
  ),
  [MetricName.StandingChanges]: counter(
    'VMs that were ejected or brought back',
    'standing',
  ),
  [MetricName.RequestDuration]: timing(
    'milliseconds from a request\u2019s head to the end of its answer',
    'service',
  ),
  [MetricName.QueueLength]: gauge('requests that wait for a slot', 'service'),
  [MetricName.InFlight]: gauge('exchanges in flight', 'service'),
  [MetricName.LogAppends]: counter(
    'appends sent to the platform\u2019s log',
    'stream',
  ),
  [MetricName.LogAppendFailures]: counter(
    'appends refused or without an answer',
    'stream',
  ),
  [MetricName.LogAppendRefusals]: counter(
    'records refused because too many wait for their stream',
    'stream',
  ),
  [MetricName.LogReads]: counter(
    'reads sent to the platform\u2019s log',
    'stream',
  ),
  [MetricName.LogReadFailures]: counter('reads that failed', 'stream'),
  [MetricName.RecordsApplied]: counter('records that took effect'),
  [MetricName.RecordsRejected]: counter(
    'records that the fold did not accept',
    'reason',
  ),
  [MetricName.StateHashDifferences]: counter(
    'offsets at which a peer folded another state; must stay 0',
  ),
  [MetricName.BundleAlarms]: counter(
    'peers with the same version and another digest in force; must stay 0',
  ),
  [MetricName.PeerMessages]: counter('messages on peer links', 'direction'),
  [MetricName.PeerDisconnects]: counter('peer links that ended', 'reason'),
  [MetricName.PeerMessagesDropped]: counter(
    'messages to or from peers that were dropped',
    'reason',
  ),
  [MetricName.KeyedRequests]: counter(
    'keyed requests by decision: run, replayed or an error kind',
    'decision',
  ),
  [MetricName.ClaimsKept]: gauge('claims of keys that are remembered'),
  [MetricName.HeldAnswerBytes]: gauge('bytes of answers held for replay'),
  [MetricName.EventLoopDelay]: timing(
    'milliseconds by which the event loop ran late',
  ),
  [MetricName.JobSubmissions]: counter(
    'answers to submissions of jobs, by answer',
    'answer',
  ),
  [MetricName.OrganisationJobs]: counter(
    'answers to submissions of jobs, by organisation and answer; past a bound on their number organisations count as `other`',
    'organisation',
    'answer',
  ),
  [MetricName.JobCancellations]: counter(
    'answers to callers that cancel a job, by answer and by what it rests on',
    'answer',
    'basis',
  ),
  [MetricName.CallersLeft]: counter(
    'calls whose caller closed the connection before the answer, by method',
    'method',
  ),
  [MetricName.CallsRefused]: counter(
    'calls of callers that were not let in, by reason',
    'reason',
  ),
  [MetricName.OrganisationExcessJobs]: counter(
    'jobs beyond the rate that the weight of their organisation entitles it to, as classified by the coordinator when it reads them',
    'organisation',
  ),
  [MetricName.AdmissionRefusals]: counter(
    'jobs refused under overload, by reason',
    'reason',
  ),
  [MetricName.JobsExpired]: counter(
    'accepted jobs that ended or were cancelled after three times their objective, at the coordinator of a deployment with admission control',
  ),
  [MetricName.PressureReports]: counter(
    'reports about waiting work that the coordinator sent, by outcome',
    'outcome',
  ),
  [MetricName.PressureReportsIgnored]: counter(
    'reports about waiting work that a daemon did not use, by reason',
    'reason',
  ),
  [MetricName.OrganisationMillicores]: gauge(
    'millicores that runs of an organisation take or may take, at the coordinator',
    'organisation',
  ),
  [MetricName.JobIntakeDuration]: timing(
    'milliseconds from a submission to its answer',
  ),
  [MetricName.JobEnds]: counter('jobs that came to their end', 'state'),
  [MetricName.RunEnds]: counter('runs that are over, by how they ended', 'end'),
  [MetricName.RunRefusals]: counter(
    'starts that workers refused, by reason',
    'reason',
  ),
  [MetricName.RunsStalled]: counter('runs that stood still and were stopped'),
  [MetricName.TasksGivenUp]: counter(
    'tasks given up since workers crash under them',
  ),
  [MetricName.Preemptions]: counter(
    'runs chosen to be stopped for more urgent work, by reason',
    'reason',
  ),
  [MetricName.PreemptionsWithdrawn]: counter(
    'runs chosen to be stopped for more urgent work that were not, by reason',
    'reason',
  ),
  [MetricName.PreemptionBudgetExhausted]: counter(
    'rounds in which the preemption budget kept runs from being stopped, by service',
    'service',
  ),
  [MetricName.WorkerRestarts]: counter('workers that restarted under their id'),
  [MetricName.RunsCarriedOver]: counter(
    'runs kept for the next incarnation of their worker, which may still start them',
  ),
  [MetricName.StartsUnanswered]: counter(
    'start orders that got no response and may still be carried out',
  ),
  [MetricName.StartsNotSent]: counter(
    'start orders that were never sent, because no connection to the worker was made',
  ),
  [MetricName.WorkerEntriesRejected]: counter(
    'entries of workers that were not used, by reason; counted once until the entry is usable again',
    'reason',
  ),
  [MetricName.RunWaitDuration]: timing(
    'milliseconds from the choice of a worker to the order to start',
  ),
  [MetricName.VmOrders]: counter(
    'orders about VMs, by order and outcome',
    'order',
    'outcome',
  ),
  [MetricName.PlacementRounds]: counter(
    'placement rounds at the coordinator, by what caused them',
    'cause',
  ),
  [MetricName.TasksWaiting]: gauge(
    'ready tasks that the last placement round of a service left, by reason',
    'service',
    'reason',
  ),
  [MetricName.WorkStanding]: gauge(
    'milliseconds for which ready tasks of a service have stood without one being placed',
    'service',
  ),
  [MetricName.TasksOverlooked]: counter(
    'tasks that had stood for over a second and were placed by a round that no event had announced; must stay 0',
    'service',
  ),
  [MetricName.ProgressStoreWait]: gauge(
    'milliseconds for which progress has waited to be stored, at the coordinator',
  ),
  [MetricName.TermsTaken]: counter('terms that this daemon took'),
};

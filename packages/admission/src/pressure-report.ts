import type {SizeHistogram} from './size-histogram.js';

/** Waiting work of an organisation at one service. */
export interface OrganisationPressure {
  readonly name: string;
  /** Work of its jobs that can still be in time. */
  readonly waitingMillicoreMilliseconds: number;
  /** Whether some of its jobs exceed the rate that it is entitled to. */
  readonly isBeyondEntitlement: boolean;
}

/** Waiting work of one service, and the capacity that serves it. */
export interface ServicePressure {
  readonly name: string;
  /** Capacity for tasks that end by themselves. */
  readonly usableMillicores: number;
  /** Capacity of the VMs that are being moved into the pool. */
  readonly incomingMillicores: number;
  /** Expected time until that capacity is usable. */
  readonly incomingDelayMilliseconds: number;
  /** Work of the waiting jobs that can still be in time. */
  readonly inTime: SizeHistogram;
  /** Work of the waiting jobs that are late but not expired. */
  readonly lateMillicoreMilliseconds: number;
  /** Millicores that recently accepted jobs need, by the size of the job. */
  readonly arrivingMillicores: SizeHistogram;
  /** Recent rate of accepted jobs, from which a daemon derives its part of them. */
  readonly arrivingJobsPerSecond: number;
  /** How long work has waited without interruption. */
  readonly pressedMilliseconds: number;
  readonly organisations: readonly OrganisationPressure[];
}

/** Relation of a queue's estimated run times to the actual ones, on a logarithmic scale. */
export interface RunTimeRatio {
  readonly queue: string;
  readonly typicalEstimateMilliseconds: number;
  /** Median run time of a task with the typical estimate. */
  readonly typicalMilliseconds: number;
  /** How much of an estimate's distance from the typical one the run time shares, in [0, 1]. */
  readonly slope: number;
  /** Mean run time divided by the median one. */
  readonly meanFactor: number;
}

/** What the coordinator tells the daemons about waiting work. */
export interface PressureReport {
  readonly term: number;
  /** Number of the report within its term. */
  readonly sequence: number;
  /** The coordinator's wall clock. */
  readonly wallMilliseconds: number;
  /** Number of daemons that have started in the deployment. */
  readonly daemons: number;
  /** Services with waiting work; empty once the pressure is over. */
  readonly services: readonly ServicePressure[];
  readonly queues: readonly RunTimeRatio[];
}

/** Whether `left` is a later report than `right`. */
export function isLaterReport(
  left: PressureReport,
  right: PressureReport,
): boolean {
  if (left.term !== right.term) return left.term > right.term;
  return left.sequence > right.sequence;
}

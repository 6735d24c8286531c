import type {PressureReport, ServicePressure} from './pressure-report.js';
import {
  emptyHistogram,
  sizeClassOf,
  type SizeHistogram,
} from './size-histogram.js';

/** Share of earlier reports in this daemon's counts that still counts after each report. */
const RETAINED_SHARE = 0.8;
/**
 * Jobs that this daemon must have accepted before its own counts outweigh what is reported. With 2,
 * chance alone refused twice as many jobs that would have been in time.
 */
const PRIOR_JOBS = 6;
const MILLISECONDS_PER_SECOND = 1_000;

/** What this daemon has accepted of one service. */
interface ServiceCounts {
  /** Work by size since the latest report. */
  readonly work: number[];
  jobs: number;
  readonly report: ServicePressure;
  readonly reportedAt: number;
  readonly reportedDaemons: number;
  /** Jobs of all daemons and of this one, the older the less they count. */
  readonly recentArrived: number;
  readonly recentAccepted: number;
}

/**
 * Estimates what all daemons have accepted since the latest report.
 * Load: a burst that reaches 42 to 300 daemons between two reports, all of which see the same free
 * capacity. Without it, each of them admits work for the whole of that capacity. The reported rate
 * of arrivals is taken to continue; what this daemon accepts beyond its part of it counts once for
 * each daemon, the less the fewer jobs it has seen. So a burst that reaches `n` daemons evenly
 * overshoots by at most seven jobs of mean size for each of them until the next report: by 294
 * jobs with 42 daemons and by 2,100 with 300.
 */
export class AcceptedWork {
  private readonly services = new Map<string, ServiceCounts>();

  /** Starts the counts of a new report, read at `now`. */
  noteReport({services, daemons}: PressureReport, now: number): void {
    const before = new Map(this.services);
    this.services.clear();
    for (const service of services)
      this.services.set(
        service.name,
        startCounts(service, daemons, before.get(service.name), now),
      );
  }

  /** Records a job that this daemon accepted. */
  noteAccepted(service: string, millicoreMilliseconds: number): void {
    const counts = this.services.get(service);
    if (!counts) return;
    counts.jobs++;
    counts.work[sizeClassOf(millicoreMilliseconds)] += millicoreMilliseconds;
  }

  /** Returns the work by size that all daemons have accepted since the latest report. */
  workOf(service: string, ageMilliseconds: number): SizeHistogram {
    const counts = this.services.get(service);
    if (!counts) return emptyHistogram();
    const {work, jobs, report} = counts;
    const daemons = daemonsOf(counts);
    const usualJobs =
      (report.arrivingJobsPerSecond * ageMilliseconds) /
      MILLISECONDS_PER_SECOND /
      daemons;
    const share = Math.min(1, (jobs + PRIOR_JOBS) / (usualJobs + PRIOR_JOBS));
    const certainty = jobs / (jobs + PRIOR_JOBS);
    const excess = jobs === 0 ? 0 : Math.max(0, 1 - usualJobs / jobs);
    return work.map(
      (own, index) =>
        share * ageMilliseconds * (report.arrivingMillicores[index] ?? 0) +
        daemons * excess * certainty * own,
    );
  }
}

function startCounts(
  report: ServicePressure,
  reportedDaemons: number,
  before: ServiceCounts | undefined,
  now: number,
): ServiceCounts {
  const elapsedSeconds = before
    ? (now - before.reportedAt) / MILLISECONDS_PER_SECOND
    : 0;
  const arrived = elapsedSeconds * report.arrivingJobsPerSecond;
  return {
    work: emptyHistogram(),
    jobs: 0,
    report,
    reportedAt: now,
    reportedDaemons,
    recentArrived: RETAINED_SHARE * (before?.recentArrived ?? 0) + arrived,
    recentAccepted:
      RETAINED_SHARE * (before?.recentAccepted ?? 0) + (before?.jobs ?? 0),
  };
}

/**
 * Estimates how many daemons accept jobs of a service: a daemon that accepts a quarter of the jobs
 * is one of four, also where a load balancer sends a queue to some of the daemons only.
 */
function daemonsOf(counts: ServiceCounts): number {
  const {reportedDaemons, recentArrived, recentAccepted} = counts;
  const arrived = PRIOR_JOBS * reportedDaemons + recentArrived;
  return Math.max(1, arrived / (PRIOR_JOBS + recentAccepted));
}

import {
  LogEvent,
  MetricName,
  type Clock,
  type Logger,
  type Metrics,
} from '@gentiandoor/kernel';
import type {JobSubmission} from '@gentiandoor/jobs';
import {
  Entitlement,
  OrganisationMetricLabels,
  type EntitlementLedger,
  type JobArrival,
} from '@gentiandoor/organisations';

/** Dependencies of `JobEntitlements`. */
export interface JobEntitlementParts {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/**
 * A submission time further ahead of the coordinator's clock counts as this far ahead: a
 * daemon with a wrong clock would make the jobs of all others too old for the ledger.
 */
const MAXIMUM_CLOCK_LEAD_MILLISECONDS = 5_000;
/** An organisation is within its entitlement again after this time without excess jobs. */
const QUIET_MILLISECONDS = 3_000;

/** An uninterrupted excess of an organisation. */
interface ExcessPeriod {
  readonly since: number;
  lastAt: number;
  jobs: number;
}

/** Records the jobs that a coordinator knows in the ledger, and reports excess jobs. */
export class JobEntitlements {
  private readonly periods = new Map<string, ExcessPeriod>();
  private readonly labels = new OrganisationMetricLabels();
  private closed = false;

  constructor(
    private readonly ledger: EntitlementLedger,
    private readonly parts: JobEntitlementParts,
  ) {}

  close(): void {
    this.closed = true;
  }

  /**
   * Records stored jobs in the order of their submission, whatever their state: those that
   * have ended have used the entitlement of their organisations too. They were reported by
   * the coordinator that read them first.
   */
  recordStored(submissions: Iterable<JobSubmission>): void {
    const arrivals = Array.from(submissions, submission =>
      this.arrivalOf(submission),
    );
    arrivals.sort(
      (left, right) =>
        left.submittedAtMilliseconds - right.submittedAtMilliseconds,
    );
    for (const arrival of arrivals) this.ledger.record(arrival);
  }

  /** Records a job that was just read, and reports it if it is an excess job. */
  record(submission: JobSubmission): void {
    this.ledger.record(this.arrivalOf(submission));
    const {id, organisation} = submission;
    if (organisation === undefined) return;
    if (this.ledger.entitlementOf(id) === Entitlement.Excess)
      this.noteExcess(organisation);
  }

  /** Forgets a job that has ended. */
  forget(jobId: string): void {
    this.ledger.forget(jobId);
  }

  private arrivalOf({
    id,
    organisation,
    submittedAtMilliseconds,
  }: JobSubmission): JobArrival {
    const latest =
      this.parts.clock.wallMilliseconds() + MAXIMUM_CLOCK_LEAD_MILLISECONDS;
    return {
      jobId: id,
      organisation,
      submittedAtMilliseconds: Math.min(submittedAtMilliseconds, latest),
    };
  }

  private noteExcess(organisation: string): void {
    const {logger, metrics} = this.parts;
    metrics.increment(MetricName.OrganisationExcessJobs, {
      organisation: this.labels.labelFor(organisation),
    });
    const now = this.now();
    const period = this.periods.get(organisation);
    if (period) {
      period.lastAt = now;
      period.jobs++;
      return;
    }
    this.periods.set(organisation, {since: now, lastAt: now, jobs: 1});
    logger.info(LogEvent.OrganisationOverEntitlement, {organisation});
    this.checkQuiet(organisation, QUIET_MILLISECONDS);
  }

  private checkQuiet(organisation: string, delayMilliseconds: number): void {
    this.parts.clock.schedule(delayMilliseconds, () => {
      const period = this.periods.get(organisation);
      if (this.closed || !period) return;
      const remaining = period.lastAt + QUIET_MILLISECONDS - this.now();
      if (remaining > 0) this.checkQuiet(organisation, remaining);
      else this.endPeriod(organisation, period);
    });
  }

  private endPeriod(organisation: string, period: ExcessPeriod): void {
    this.periods.delete(organisation);
    this.parts.logger.info(LogEvent.OrganisationWithinEntitlement, {
      organisation,
      jobs: period.jobs,
      milliseconds: Math.round(period.lastAt - period.since),
    });
  }

  private now(): number {
    return this.parts.clock.monotonicMilliseconds();
  }
}

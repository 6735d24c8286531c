/** Whether an organisation is entitled to a job within the rate that its weight grants. */
export enum Entitlement {
  Entitled = 'entitled',
  /** Beyond the rate: served with capacity that entitled jobs leave unused. */
  Excess = 'excess',
}

/** A submitted job, as the ledger sees it. */
export interface JobArrival {
  readonly jobId: string;
  /** Undefined for a job of a public queue. */
  readonly organisation: string | undefined;
  /** Wall-clock time of its submission, in milliseconds. */
  readonly submittedAtMilliseconds: number;
}

/** Classifies the jobs of organisations by the rate that each is entitled to. */
export interface EntitlementLedger {
  /** Records a submitted job; jobs are recorded once each, in any order. */
  record(arrival: JobArrival): void;
  /**
   * Returns the entitlement of a recorded job; jobs that are not known are entitled. It may
   * change when a job with an earlier submission time is recorded.
   */
  entitlementOf(jobId: string): Entitlement;
  /** Forgets a job that has ended. */
  forget(jobId: string): void;
}

/** Entitles every job, as in a deployment without organisations. */
export class EveryJobEntitled implements EntitlementLedger {
  record(): void {
    // Nothing depends on earlier jobs.
  }

  entitlementOf(): Entitlement {
    return Entitlement.Entitled;
  }

  forget(): void {
    // Nothing is kept.
  }
}

import {JobState, type JobTable, type StoredJob} from '@gentiandoor/jobs';
import {groupBy} from '@gentiandoor/kernel';
import {
  Entitlement,
  sumResources,
  type EntitlementLedger,
  type Resources,
} from '@gentiandoor/organisations';

/** Running and waiting work of one organisation in one queue. */
export interface QueueOrganisationView {
  readonly queue: string;
  /** Undefined for jobs without an organisation. */
  readonly organisation: string | undefined;
  /** Resources used by its runs that may be alive. */
  readonly running: Resources;
  /** Number of jobs of which no task has started yet. */
  readonly queued: number;
  /** Number of these jobs that are beyond the entitlement; undefined without a ledger. */
  readonly queuedExcess: number | undefined;
}

/**
 * Returns the work by queue and organisation. A `ledger` classifies the stored jobs, as the
 * coordinator does on recovery.
 */
export function queueOrganisationsOf(
  table: JobTable,
  ledger: EntitlementLedger | undefined,
): QueueOrganisationView[] {
  const jobs = [...table.all()];
  for (const {submission} of jobs)
    ledger?.record({
      jobId: submission.id,
      organisation: submission.organisation,
      submittedAtMilliseconds: submission.submittedAtMilliseconds,
    });
  const groups = groupBy(jobs, ({submission}) =>
    JSON.stringify([submission.queue, submission.organisation]),
  );
  return [...groups.values()].map(members => {
    const queued = members.filter(
      job => table.stateOf(job) === JobState.Queued,
    );
    const {queue, organisation} = members[0].submission;
    return {
      queue,
      organisation,
      running: sumResources(members.flatMap(resourcesOfLiveTasks)),
      queued: queued.length,
      queuedExcess:
        ledger &&
        queued.filter(
          ({submission}) =>
            ledger.entitlementOf(submission.id) === Entitlement.Excess,
        ).length,
    };
  });
}

/** Returns the resources of each run of a job that may be alive. */
export function resourcesOfLiveTasks({
  submission,
  progress,
}: StoredJob): Resources[] {
  return [...progress.tasks]
    .filter(([, task]) => task.worker !== '')
    .flatMap(([key]) => submission?.steps[Number(key.split('.')[1])] ?? []);
}

import type {
  DeploymentView,
  OrganisationView,
  QueueOrganisationView,
} from '@gentiandoor/coordinator';
import {LogEvent, groupBy} from '@gentiandoor/kernel';
import {refusalReason} from './account/refusals.js';
import {jobOf, type LogLine} from './job-timeline.js';
import {preemptionOf} from './preemption-line.js';

/** Work of one organisation in one queue: what the store and the log say of it. */
export interface WorkRow {
  readonly queue: string;
  /** `-` for jobs without an organisation. */
  readonly organisation: string;
  readonly weight: number | string;
  /** Limit of the organisation in all queues together, in cores. */
  readonly limit: number | string;
  /** Cores of its runs that may be alive. */
  readonly cores: number;
  readonly waiting: number;
  /** Number of waiting jobs beyond the entitlement; `-` if they are not classified. */
  readonly excess: number | string;
  /** Number of refused submissions; `-` without a log, like the columns below. */
  readonly refused: number | string;
  readonly preempted: number | string;
  readonly lostCoreMilliseconds: number | string;
  /** Number of refused submissions by reason. */
  readonly refusals: Readonly<Record<string, number>>;
}

const UNKNOWN = '-';
const MILLICORES_PER_CORE = 1_000;
/** Answer to a submission that the store may have taken: not a refusal. */
const IN_DOUBT = 'unknown';

/** A queue and an organisation; undefined without an organisation. */
interface Share {
  readonly queue: string;
  readonly organisation?: string | undefined;
}

/** What a log says of one share. */
interface LoggedShare extends Share {
  readonly refusals: Record<string, number>;
  preempted: number;
  lostCoreMilliseconds: number;
}

/**
 * Returns the work by queue and organisation, ordered by both. Refusals and preemptions come from
 * the log lines of all daemons, if there are any.
 */
export function workRows(
  view: DeploymentView,
  lines: readonly LogLine[] | undefined,
): WorkRow[] {
  const logged = lines && loggedShares(view, lines);
  const stored = new Map(
    view.queueOrganisations.map(entry => [keyOf(entry), entry]),
  );
  const shares = new Map<string, Share>([...stored, ...(logged ?? [])]);
  const organisations = new Map(
    view.organisations.map(organisation => [organisation.name, organisation]),
  );
  return [...shares]
    .map(([key, share]) => ({
      ...entitlementColumns(share, organisations),
      ...storedColumns(stored.get(key)),
      ...loggedColumns(logged && (logged.get(key) ?? emptyShare(share))),
    }))
    .sort(
      (one, other) =>
        one.queue.localeCompare(other.queue) ||
        one.organisation.localeCompare(other.organisation),
    );
}

function entitlementColumns(
  {queue, organisation}: Share,
  organisations: ReadonlyMap<string, OrganisationView>,
): Pick<WorkRow, 'queue' | 'organisation' | 'weight' | 'limit'> {
  const settings =
    organisation === undefined
      ? undefined
      : organisations.get(organisation)?.settings;
  const limit = settings?.limit.processorMillicores ?? 0;
  return {
    queue,
    organisation: organisation ?? UNKNOWN,
    weight: settings?.weight ?? UNKNOWN,
    limit: limit > 0 ? limit / MILLICORES_PER_CORE : 'none',
  };
}

function storedColumns(
  entry: QueueOrganisationView | undefined,
): Pick<WorkRow, 'cores' | 'waiting' | 'excess'> {
  return {
    cores: (entry?.running.processorMillicores ?? 0) / MILLICORES_PER_CORE,
    waiting: entry?.queued ?? 0,
    excess: entry?.queuedExcess ?? UNKNOWN,
  };
}

function loggedColumns(
  share: LoggedShare | undefined,
): Pick<
  WorkRow,
  'refused' | 'preempted' | 'lostCoreMilliseconds' | 'refusals'
> {
  if (!share)
    return {
      refused: UNKNOWN,
      preempted: UNKNOWN,
      lostCoreMilliseconds: UNKNOWN,
      refusals: {},
    };
  const {refusals, preempted, lostCoreMilliseconds} = share;
  const refused = Object.values(refusals).reduce((sum, n) => sum + n, 0);
  return {refused, preempted, lostCoreMilliseconds, refusals};
}

function loggedShares(
  view: DeploymentView,
  lines: readonly LogLine[],
): Map<string, LoggedShare> {
  const shares = new Map<string, LoggedShare>();
  const shareOf = (share: Share) => {
    const key = keyOf(share);
    const known = shares.get(key) ?? emptyShare(share);
    shares.set(key, known);
    return known;
  };
  const submissions = groupBy(
    lines.filter(({event}) => event === LogEvent.JobTaken),
    jobOf,
  );
  for (const line of lines) {
    const reason = submissionRefusal(line);
    if (reason !== undefined) {
      const {refusals} = shareOf(shareIn(line));
      refusals[reason] = (refusals[reason] ?? 0) + 1;
    }
    const preemption = preemptionOf(line);
    if (!preemption) continue;
    const [taken] = submissions.get(preemption.job) ?? [];
    const stored = view.table.find(preemption.job)?.submission;
    const share = shareOf(stored ?? shareIn(taken));
    share.preempted++;
    share.lostCoreMilliseconds += preemption.lostCoreMilliseconds;
  }
  return shares;
}

/** Returns why a submission was refused, if the line is about one that certainly was. */
function submissionRefusal(line: LogLine): string | undefined {
  return line.event === LogEvent.JobRefused && line.fields.answer !== IN_DOUBT
    ? refusalReason(line)
    : undefined;
}

/** Returns the queue and organisation that a line names; `?` without a queue. */
function shareIn(line: LogLine | undefined): Share {
  const {queue, organisation} = line?.fields ?? {};
  return {
    queue: typeof queue === 'string' ? queue : '?',
    organisation: typeof organisation === 'string' ? organisation : undefined,
  };
}

function emptyShare({queue, organisation}: Share): LoggedShare {
  const counts = {refusals: {}, preempted: 0, lostCoreMilliseconds: 0};
  return {queue, organisation, ...counts};
}

function keyOf({queue, organisation}: Share): string {
  return JSON.stringify([queue, organisation]);
}

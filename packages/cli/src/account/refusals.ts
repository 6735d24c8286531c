import {LogEvent, groupBy} from '@gentiandoor/kernel';
import type {LogLine} from '../job-timeline.js';
import {organisationIn} from './log-line-fields.js';

/** Number of refusals in one group, by reason. */
export interface RefusalRow {
  readonly label: string;
  /** Has every reason that occurs in the log. */
  readonly refusals: Readonly<Record<string, number>>;
}

/**
 * Returns the reason of a refusal: the answer to the submission with the rule that refused it, if
 * the line names one, or the reason why the call was rejected. Undefined for any other line.
 */
export function refusalReason({event, fields}: LogLine): string | undefined {
  const reason = textOf(fields.reason);
  if (event === LogEvent.CallRefused) return `call ${reason ?? '?'}`;
  if (event !== LogEvent.JobRefused) return undefined;
  const answer = textOf(fields.answer) ?? '?';
  return reason === undefined ? answer : `${answer}: ${reason}`;
}

/** Returns the refusals of each second that has any, in order. */
export function refusalsBySecond(
  lines: readonly LogLine[],
  secondOf: (time: number) => number,
): RefusalRow[] {
  return refusalRows(lines, line => `${secondOf(line.time)} s`);
}

/** Returns the refused submissions by queue and organisation; `-` without an organisation. */
export function refusalsByQueueAndOrganisation(
  lines: readonly LogLine[],
): RefusalRow[] {
  const submissions = lines.filter(({event}) => event === LogEvent.JobRefused);
  return refusalRows(
    submissions,
    line =>
      `${textOf(line.fields.queue) ?? '?'} ${organisationIn(line) ?? '-'}`,
  );
}

/** Number of jobs with a submission that was refused or in doubt. */
export interface RefusedJobs {
  readonly total: number;
  /** Number of these that a daemon accepted at another attempt. */
  readonly acceptedLater: number;
}

/** Answer to a submission whose id is that of an accepted job of another caller. */
const ID_IN_USE = 'id_in_use';

/** Counts refused jobs; the attempts of one caller have the same job id. */
export function countRefusedJobs(lines: readonly LogLine[]): RefusedJobs {
  const refused = jobsOf(
    lines.filter(({fields}) => fields.answer !== ID_IN_USE),
    LogEvent.JobRefused,
  );
  const accepted = jobsOf(lines, LogEvent.JobTaken);
  const acceptedLater = [...refused].filter(job => accepted.has(job)).length;
  return {total: refused.size, acceptedLater};
}

function jobsOf(lines: readonly LogLine[], event: LogEvent): Set<unknown> {
  const ofEvent = lines.filter(line => line.event === event);
  return new Set(ofEvent.map(({fields}) => fields.job));
}

function refusalRows(
  lines: readonly LogLine[],
  labelOf: (line: LogLine) => string,
): RefusalRow[] {
  const refusals = lines.flatMap(line => {
    const reason = refusalReason(line);
    return reason === undefined ? [] : [{label: labelOf(line), reason}];
  });
  const reasons = [...new Set(refusals.map(({reason}) => reason))].sort();
  return [...groupBy(refusals, ({label}) => label)]
    .map(([label, members]) => ({label, refusals: countsOf(members, reasons)}))
    .sort((one, other) =>
      one.label.localeCompare(other.label, undefined, {numeric: true}),
    );
}

function countsOf(
  refusals: ReadonlyArray<{readonly reason: string}>,
  reasons: readonly string[],
): Record<string, number> {
  const counts = Object.fromEntries(reasons.map(reason => [reason, 0]));
  for (const {reason} of refusals) counts[reason]++;
  return counts;
}

function textOf(value: unknown): string | undefined {
  return typeof value === 'string' && value !== '' ? value : undefined;
}

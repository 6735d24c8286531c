import type {LogLine} from '../job-timeline.js';

/** Returns the organisation that a line names, if any. */
export function organisationIn({fields}: LogLine): string | undefined {
  const {organisation} = fields;
  return typeof organisation === 'string' ? organisation : undefined;
}

/** Returns a numeric field of a line; 0 if it is missing or not a number. */
export function numberOrZero({fields}: LogLine, name: string): number {
  const value = Number(fields[name]);
  return Number.isFinite(value) ? value : 0;
}

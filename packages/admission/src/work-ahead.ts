import type {ServicePressure} from './pressure-report.js';
import {sizeClassOf, workUpTo, type SizeHistogram} from './size-histogram.js';

/** Place of a job in the waiting order. */
export interface WaitingPlace {
  readonly millicoreMilliseconds: number;
  /** Undefined for a job of a public queue. */
  readonly organisation: string | undefined;
}

/** Returns whether an organisation is beyond its entitlement at a service. */
export function isBeyondEntitlement(
  {organisations}: ServicePressure,
  organisation: string | undefined,
): boolean {
  return organisations.some(
    one => one.name === organisation && one.isBeyondEntitlement,
  );
}

/**
 * Returns how much of the work in `histogram` goes ahead of a job that can still be in time:
 * smaller jobs, of organisations beyond their entitlement only if that of the job is as well; and
 * for such a job all work of the organisations within theirs.
 */
export function workAhead(
  histogram: SizeHistogram,
  service: ServicePressure,
  place: WaitingPlace,
): number {
  const smaller = workOfSmallerJobs(histogram, place.millicoreMilliseconds);
  const beyondShare = shareBeyondEntitlement(service);
  const entitledShare = 1 - beyondShare;
  if (!isBeyondEntitlement(service, place.organisation))
    return entitledShare * smaller;
  return entitledShare * totalWork(histogram) + beyondShare * smaller;
}

/** Returns all work in a histogram. */
export function totalWork(histogram: SizeHistogram): number {
  return histogram.reduce((sum, work) => sum + work, 0);
}

/** Returns the work of smaller jobs; that of the job's own class counts by its place within it. */
function workOfSmallerJobs(histogram: SizeHistogram, size: number): number {
  const sizeClass = sizeClassOf(size);
  const upper = 2 ** sizeClass;
  const lower = sizeClass === 0 ? 0 : upper / 2;
  const part = Math.min(1, Math.max(0, (size - lower) / (upper - lower)));
  const own = histogram[sizeClass] ?? 0;
  return workUpTo(histogram, sizeClass - 1) + part * own;
}

function shareBeyondEntitlement({
  inTime,
  organisations,
}: ServicePressure): number {
  const beyond = organisations
    .filter(one => one.isBeyondEntitlement)
    .reduce((sum, one) => sum + one.waitingMillicoreMilliseconds, 0);
  return beyond > 0 ? Math.min(1, beyond / totalWork(inTime)) : 0;
}

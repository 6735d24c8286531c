/** Work that a job waits for, and the capacity that works it off. */
export interface Backlog {
  /** Work ahead of the job now. */
  readonly millicoreMilliseconds: number;
  readonly usableMillicores: number;
  /** Capacity that becomes usable after `incomingDelayMilliseconds`. */
  readonly incomingMillicores: number;
  readonly incomingDelayMilliseconds: number;
  /** Work that keeps arriving ahead of the job, for `arrivingMilliseconds`. */
  readonly arrivingMillicores: number;
  readonly arrivingMilliseconds: number;
}

/** Returns the milliseconds until the work ahead of a job is done; infinite without capacity. */
export function waitMilliseconds(backlog: Backlog): number {
  const {incomingDelayMilliseconds, arrivingMilliseconds} = backlog;
  const changes = [incomingDelayMilliseconds, arrivingMilliseconds]
    .filter(at => at > 0)
    .sort((left, right) => left - right);
  let work = backlog.millicoreMilliseconds;
  let at = 0;
  for (const change of [...changes, Infinity]) {
    const rate = drainRateAt(backlog, at);
    if (work <= 0) return at;
    if (rate > 0 && at + work / rate <= change) return at + work / rate;
    if (change === Infinity) return Infinity;
    work -= rate * (change - at);
    at = change;
  }
  return at;
}

function drainRateAt(backlog: Backlog, at: number): number {
  const incoming =
    at >= backlog.incomingDelayMilliseconds ? backlog.incomingMillicores : 0;
  const arriving =
    at < backlog.arrivingMilliseconds ? backlog.arrivingMillicores : 0;
  return backlog.usableMillicores + incoming - arriving;
}

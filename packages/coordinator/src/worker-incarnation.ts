/** The id of an incarnation together with the id that its worker keeps. */
export interface IncarnationName {
  readonly id: string;
  readonly instance: string;
}

const INCARNATION_ID = /^(.+)@(\d+)$/;

/**
 * Returns the id of the incarnation of a worker that started at a time; the worker's own
 * id if it does not report when it started.
 */
export function incarnationId(
  instance: string,
  startedAtMilliseconds: number | undefined,
): string {
  return startedAtMilliseconds === undefined
    ? instance
    : `${instance}@${startedAtMilliseconds}`;
}

/**
 * Returns whether one incarnation reports an earlier start than another of the same worker. It is a
 * time of the worker's wall clock, which may have been stepped in between.
 */
export function startedEarlier(
  one: IncarnationName,
  other: IncarnationName,
): boolean {
  return startOf(one) < startOf(other);
}

function startOf({id}: IncarnationName): number {
  return Number(INCARNATION_ID.exec(id)?.[2]);
}

/** Returns the worker's own id, given the id of one of its incarnations. */
export function instanceOf(incarnation: string): string {
  return INCARNATION_ID.exec(incarnation)?.[1] ?? incarnation;
}

/** Returns whether an id is that of an incarnation, whose worker may restart under its own id. */
export function namesIncarnation(id: string): boolean {
  return INCARNATION_ID.test(id);
}

/** Returns whether the worker reports when it started, which reveals a restart. */
export function reportsStart({id, instance}: IncarnationName): boolean {
  return id !== instance;
}

/** Reason why a worker's incarnation is known to have ended. */
export enum IncarnationEnd {
  EntryRemoved = 'entry removed',
  Replaced = 'another incarnation answers at its address',
  Restarted = 'it restarted under its id',
  LeftVm = 'its VM runs it no longer',
  NoVm = 'no VM runs it',
  /** This coordinator ordered the move. */
  Moved = 'move',
  /** This coordinator ordered the maintenance. */
  Maintained = 'maintain',
  /** An earlier coordinator ordered the move or maintenance. */
  VmMovingOrInMaintenance = 'its VM is being moved or maintained',
}

const UNPLANNED_ENDS: ReadonlySet<IncarnationEnd> = new Set([
  IncarnationEnd.Replaced,
  IncarnationEnd.Restarted,
  IncarnationEnd.LeftVm,
  IncarnationEnd.NoVm,
]);

/**
 * Returns whether the end was unplanned: the worker crashed, unless it had announced that it
 * drains.
 */
export function isUnplanned(end: IncarnationEnd): boolean {
  return UNPLANNED_ENDS.has(end);
}

const CERTAIN_ENDS: ReadonlySet<IncarnationEnd> = new Set([
  IncarnationEnd.Replaced,
  IncarnationEnd.Restarted,
  IncarnationEnd.Moved,
  IncarnationEnd.Maintained,
]);

/**
 * Returns whether the incarnation cannot come back. It can if only its entry or its VM was
 * missing in a list.
 */
export function isCertain(end: IncarnationEnd): boolean {
  return CERTAIN_ENDS.has(end);
}

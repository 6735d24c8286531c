/** Reason why a worker's incarnation is known to have ended. */
export enum IncarnationEnd {
  EntryRemoved = 'entry removed',
  Replaced = 'another incarnation answers at its address',
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

/** How the end of a worker's incarnation was learned. */
export enum IncarnationEnd {
  EntryRemoved = 'entry removed',
  Replaced = 'another incarnation answers at its address',
  LeftVm = 'its VM runs it no longer',
  NoVm = 'no VM runs it',
  /** This coordinator ordered it. */
  Moved = 'move',
  /** This coordinator ordered it. */
  Maintained = 'maintain',
  /** An earlier coordinator ordered it. */
  VmMovingOrInMaintenance = 'its VM is being moved or maintained',
}

const UNPLANNED: ReadonlySet<IncarnationEnd> = new Set([
  IncarnationEnd.Replaced,
  IncarnationEnd.LeftVm,
  IncarnationEnd.NoVm,
]);

/** Whether nobody had planned the end: the worker crashed, unless it had said that it drains. */
export function isUnplanned(end: IncarnationEnd): boolean {
  return UNPLANNED.has(end);
}

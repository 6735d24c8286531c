import {checkPlannedStop} from './budget-check.js';
import {capacityIndexOf} from './capacity-index.js';
import {
  PlannedWorkKind,
  isOutOfService,
  type PlannedWork,
} from './planning-state.js';
import {jobIndexOf} from './job-index.js';
import {
  RejectionReason,
  type FleetState,
  type Rejection,
  type VmOwnership,
} from './fleet-state.js';

/** Initial fields of planned work on a VM. */
export type NewPlannedWork = Omit<PlannedWork, 'awaiting' | 'attempts'>;

/** Returns the VM, or a rejection if there is none. */
export function findVm(state: FleetState, id: string): VmOwnership | Rejection {
  return (
    state.vms.get(id) ?? {
      reason: RejectionReason.VmUnknown,
      detail: `no VM ${id} in any pool; see \`gentiandoor vm list\``,
    }
  );
}

/** Whether the result of a lookup is a rejection. */
export function isRejection(value: object): value is Rejection {
  return 'detail' in value && 'reason' in value && !('startedAt' in value);
}

/** Starts planned work if the VM has none and all budgets allow it. */
export function startPlannedWork(
  state: FleetState,
  work: NewPlannedWork,
): Rejection | undefined {
  const current = state.work.get(work.vm);
  if (current) return workInProgressRejection(current);
  const refusal = checkPlannedStop(state, work.vm, work.toPool);
  if (refusal) return refusal;
  const awaiting = [...state.members.keys()];
  const attempts =
    work.kind === PlannedWorkKind.Repair
      ? (state.failedAttempts.get(work.vm) ?? 0)
      : 0;
  setPlannedWork(state, work.vm, {...work, awaiting, attempts});
  return undefined;
}

/** Sets or removes planned work; updates the VM's drain reason and the counters with it. */
export function setPlannedWork(
  state: FleetState,
  vm: string,
  work: PlannedWork | undefined,
): void {
  capacityIndexOf(state).update(vm, () => {
    if (work) state.work.set(vm, work);
    else state.work.delete(vm);
    const record = state.vms.get(vm);
    if (!record) return;
    const drainReason = isOutOfService(work) ? work?.reason : undefined;
    if (record.drainReason !== drainReason)
      state.vms.set(vm, {...record, drainReason});
  });
}

/** Returns the work that a record identifies by VM and start, or why it no longer exists. */
export function findPlannedWork(
  state: FleetState,
  vm: string,
  startedAt: number,
): PlannedWork | Rejection {
  const work = state.work.get(vm);
  if (work && work.startedAt === startedAt) return work;
  const owner = state.vms.get(vm);
  return {
    reason: RejectionReason.WorkUnknown,
    detail: `the work of offset ${startedAt} on VM ${vm} has ended; it belongs to pool ${owner?.pool ?? 'none'}, epoch ${owner?.epoch ?? 0}`,
  };
}

/**
 * Returns the daemons that may still have an exchange on the VM. A daemon that left or was
 * replaced counts as gone, either by its own record or by that of the incarnation that took
 * over its name.
 */
export function outstandingDaemons(
  state: FleetState,
  work: PlannedWork,
): string[] {
  return work.awaiting.filter(incarnation => state.members.has(incarnation));
}

/** Returns why the VM is not drained yet; undefined if it is. */
export function checkDrained(
  state: FleetState,
  work: PlannedWork,
): Rejection | undefined {
  const names = outstandingDaemons(state, work).map(
    incarnation => state.members.get(incarnation)?.name ?? incarnation,
  );
  if (names.length === 0) return checkOutstandingJobs(state, work);
  return {
    reason: RejectionReason.DrainOutstanding,
    detail: `VM ${work.vm} waits for ${names.join(', ')} to finish exchanges; check those daemons if this does not change`,
  };
}

/**
 * Returns the keys of jobs that planned work waits for; none for a repair: the VM is down, so
 * its leases lapse.
 */
export function outstandingJobs(
  state: FleetState,
  work: PlannedWork,
): ReadonlySet<string> {
  if (work.kind === PlannedWorkKind.Repair) return NO_JOBS;
  return jobIndexOf(state).placedKeysByVm.get(work.vm) ?? NO_JOBS;
}

/** Whether the planned work waits for no daemon and no job. */
export function isDrained(state: FleetState, work: PlannedWork): boolean {
  return checkDrained(state, work) === undefined;
}

const NO_JOBS: ReadonlySet<string> = new Set();

function checkOutstandingJobs(
  state: FleetState,
  work: PlannedWork,
): Rejection | undefined {
  const jobs = outstandingJobs(state, work);
  if (jobs.size === 0) return undefined;
  const [first] = jobs;
  return {
    reason: RejectionReason.DrainOutstanding,
    detail: `VM ${work.vm} waits for ${jobs.size} jobs, the first is ${first}; cancel those that need not finish`,
  };
}

function workInProgressRejection(work: PlannedWork): Rejection {
  return {
    reason: RejectionReason.AlreadyDraining,
    detail: `VM ${work.vm} is under ${work.kind} by ${work.writer}: ${work.reason}`,
  };
}

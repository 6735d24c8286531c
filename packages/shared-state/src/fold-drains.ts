import {
  PlannedWorkKind,
  PlannedWorkStep,
  type PlannedWork,
} from './planning-state.js';
import type {DrainAcknowledged} from './planning-records.js';
import {
  RejectionReason,
  type FleetState,
  type Rejection,
} from './fleet-state.js';
import {fenceOrRenewPlanner} from './fold-planner.js';
import {
  findVm,
  isRejection,
  setPlannedWork,
  startPlannedWork,
} from './planned-work.js';
import type {DrainEnded, DrainStarted} from './records.js';

/** Takes a VM out of routing if the budgets of its pool allow it. */
export function applyDrainStarted(
  state: FleetState,
  record: DrainStarted,
  offset: number,
): Rejection | undefined {
  const fenced = fenceOrRenewPlanner(state, record, offset);
  if (fenced) return fenced;
  const vm = findVm(state, record.vm);
  if (isRejection(vm)) return vm;
  return startPlannedWork(state, {
    vm: record.vm,
    kind: PlannedWorkKind.Drain,
    step: PlannedWorkStep.Draining,
    reason: record.reason,
    writer: record.writer,
    startedAt: offset,
  });
}

/** Puts a drained VM back into routing; operators also use it to return VMs handed over to them. */
export function applyDrainEnded(
  state: FleetState,
  record: DrainEnded,
  offset: number,
): Rejection | undefined {
  const fenced = fenceOrRenewPlanner(state, record, offset);
  if (fenced) return fenced;
  const vm = findVm(state, record.vm);
  if (isRejection(vm)) return vm;
  const work = state.work.get(record.vm);
  if (work && work.kind !== PlannedWorkKind.Drain)
    return otherWorkRejection(record.vm, work.kind);
  if (namesAnotherDrain(record, work)) {
    return {
      reason: RejectionReason.NotDraining,
      detail: `the drain of VM ${record.vm} that was to be ended is already over; check the VM again`,
    };
  }
  const wasHandedOver = state.handedOver.delete(record.vm);
  state.failedAttempts.delete(record.vm);
  if (work) setPlannedWork(state, record.vm, undefined);
  if (work || wasHandedOver) return undefined;
  return {
    reason: RejectionReason.NotDraining,
    detail: `VM ${record.vm} is not draining`,
  };
}

/**
 * Whether the record refers to a different drain of the VM. Two operators may end the same
 * drain, or a late record may arrive after the next drain started: without the offset, the
 * second record would end a drain that it was not meant for, and a VM under repair would
 * receive work.
 */
function namesAnotherDrain(
  record: DrainEnded,
  work: PlannedWork | undefined,
): boolean {
  if (record.startedAt === undefined) return false;
  return work?.startedAt !== record.startedAt;
}

/** Records that a daemon has no exchange left on VMs; skips work that has ended meanwhile. */
export function applyDrainAcknowledged(
  state: FleetState,
  record: DrainAcknowledged,
): Rejection | undefined {
  if (!state.members.has(record.incarnation)) {
    return {
      reason: RejectionReason.MemberUnknown,
      detail: `${record.incarnation} is not a member; its acknowledgement is not needed`,
    };
  }
  for (const {vm, startedAt} of record.acknowledgements) {
    const work = state.work.get(vm);
    if (!work || work.startedAt !== startedAt) continue;
    const awaiting = work.awaiting.filter(item => item !== record.incarnation);
    // Set directly, because `awaiting` affects neither routing nor the counters.
    state.work.set(vm, {...work, awaiting});
  }
  return undefined;
}

function otherWorkRejection(vm: string, kind: PlannedWorkKind): Rejection {
  const advice =
    kind === PlannedWorkKind.Move
      ? 'abort the move'
      : 'hold or abort its wave, or wait for the repair';
  return {
    reason: RejectionReason.NotDraining,
    detail: `VM ${vm} is out for ${kind}, not for a drain; ${advice}`,
  };
}

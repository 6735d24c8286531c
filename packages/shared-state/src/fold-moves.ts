import {capacityIndexOf} from './capacity-index.js';
import {
  PlannedWorkKind,
  PlannedWorkStep,
  type PlannedWork,
} from './planning-state.js';
import type {
  MoveAborted,
  MoveAssigned,
  MoveStarted,
} from './planning-records.js';
import {
  RejectionReason,
  type FleetState,
  type Rejection,
  type VmOwnership,
} from './fleet-state.js';
import {fenceOrRenewPlanner} from './fold-planner.js';
import {
  checkDrained,
  findVm,
  findPlannedWork,
  isRejection,
  setPlannedWork,
  startPlannedWork,
} from './planned-work.js';

/** Starts a move: the VM drains and still belongs to its old pool. */
export function applyMoveStarted(
  state: FleetState,
  record: MoveStarted,
  offset: number,
): Rejection | undefined {
  const fenced = fenceOrRenewPlanner(state, record, offset);
  if (fenced) return fenced;
  const vm = findVm(state, record.vm);
  if (isRejection(vm)) return vm;
  const refusal = checkMove(state, record, vm);
  if (refusal) return refusal;
  return startPlannedWork(state, {
    vm: record.vm,
    kind: PlannedWorkKind.Move,
    step: PlannedWorkStep.Draining,
    reason: record.reason,
    writer: record.writer,
    startedAt: offset,
    toPool: record.toPool,
    cause: record.cause,
  });
}

/**
 * Assigns the VM to the new pool once every daemon that could route to it under the old owner
 * has acknowledged the drain or is gone. Otherwise one VM would get requests of two pools.
 */
export function applyMoveAssigned(
  state: FleetState,
  record: MoveAssigned,
  offset: number,
): Rejection | undefined {
  const fenced = fenceOrRenewPlanner(state, record, offset);
  if (fenced) return fenced;
  const work = findMove(state, record.vm, record.startedAt);
  if (isRejection(work)) return work;
  const vm = state.vms.get(record.vm);
  if (!vm || vm.epoch !== record.epoch)
    return epochMismatchRejection(record.vm, record.epoch, vm);
  const refusal =
    checkDrained(state, work) ?? checkDestinationPool(state, work);
  if (refusal) return refusal;
  const pool = work.toPool ?? vm.pool;
  setPlannedWork(state, vm.id, undefined);
  capacityIndexOf(state).update(vm.id, () => {
    state.vms.set(vm.id, {id: vm.id, pool, epoch: vm.epoch + 1});
  });
  recordDeviation(state, work, pool, offset);
  return undefined;
}

/**
 * Aborts a move before the assignment. After it the abort is rejected, and the rejection names
 * the VM's pool.
 */
export function applyMoveAborted(
  state: FleetState,
  record: MoveAborted,
  offset: number,
): Rejection | undefined {
  const fenced = fenceOrRenewPlanner(state, record, offset);
  if (fenced) return fenced;
  const work = findMove(state, record.vm, record.startedAt);
  if (isRejection(work)) return work;
  setPlannedWork(state, record.vm, undefined);
  return undefined;
}

function findMove(
  state: FleetState,
  vm: string,
  startedAt: number,
): PlannedWork | Rejection {
  const work = findPlannedWork(state, vm, startedAt);
  if (isRejection(work) || work.kind === PlannedWorkKind.Move) return work;
  return {
    reason: RejectionReason.WorkUnknown,
    detail: `VM ${vm} is under ${work.kind}, not in a move`,
  };
}

function checkMove(
  state: FleetState,
  record: MoveStarted,
  vm: VmOwnership,
): Rejection | undefined {
  if (vm.epoch !== record.epoch)
    return epochMismatchRejection(vm.id, record.epoch, vm);
  if (vm.pool === record.toPool) {
    return {
      reason: RejectionReason.EpochMoved,
      detail: `VM ${vm.id} belongs to pool ${vm.pool} already`,
    };
  }
  const pools = state.inForce?.bundle.pools ?? {};
  if (record.toPool in pools) return undefined;
  return {
    reason: RejectionReason.PoolUnknown,
    detail: `pool ${record.toPool} is not in the bundle in force; VM ${vm.id} stays in ${vm.pool}`,
  };
}

/**
 * Checks that the destination exists: a bundle that came into force during the move may have
 * removed it.
 */
function checkDestinationPool(
  state: FleetState,
  work: PlannedWork,
): Rejection | undefined {
  if ((work.toPool ?? '') in (state.inForce?.bundle.pools ?? {}))
    return undefined;
  return {
    reason: RejectionReason.PoolUnknown,
    detail: `pool ${work.toPool} has left the bundle; abort the move of VM ${work.vm}`,
  };
}

function recordDeviation(
  state: FleetState,
  work: PlannedWork,
  pool: string,
  offset: number,
): void {
  const desired = state.inForce?.bundle.pools[pool]?.vms ?? [];
  if (work.cause === undefined || desired.includes(work.vm))
    state.deviations.delete(work.vm);
  else state.deviations.set(work.vm, {cause: work.cause, offset});
}

function epochMismatchRejection(
  vm: string,
  expected: number,
  found: VmOwnership | undefined,
): Rejection {
  return {
    reason: RejectionReason.EpochMoved,
    detail: `VM ${vm} is in pool ${found?.pool ?? 'none'} with epoch ${found?.epoch ?? 0}, not ${expected}; check the VM again before moving it`,
  };
}

import {
  RejectionReason,
  type FleetState,
  type Rejection,
} from './fleet-state.js';
import type {DrainEnded, DrainStarted} from './records.js';

/** Takes a VM out of routing. */
export function applyDrainStarted(
  state: FleetState,
  record: DrainStarted,
): Rejection | undefined {
  const vm = state.vms.get(record.vm);
  if (!vm)
    return {reason: RejectionReason.VmUnknown, detail: `no VM ${record.vm}`};
  if (vm.drainReason !== undefined) {
    return {
      reason: RejectionReason.AlreadyDraining,
      detail: `VM ${vm.id} is draining: ${vm.drainReason}`,
    };
  }
  state.vms.set(vm.id, {...vm, drainReason: record.reason});
  return undefined;
}

/** Puts a drained VM back into routing. */
export function applyDrainEnded(
  state: FleetState,
  record: DrainEnded,
): Rejection | undefined {
  const vm = state.vms.get(record.vm);
  if (!vm)
    return {reason: RejectionReason.VmUnknown, detail: `no VM ${record.vm}`};
  if (vm.drainReason === undefined) {
    return {
      reason: RejectionReason.NotDraining,
      detail: `VM ${vm.id} is not draining`,
    };
  }
  state.vms.set(vm.id, {...vm, drainReason: undefined});
  return undefined;
}

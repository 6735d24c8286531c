import type {VmBody} from '@gentiandoor/plugin-fleet';

/** Describes the state of a VM and its planned work in a few words. */
export function vmState(vm: VmBody): string {
  if (vm.handedOver !== undefined) return `handed over: ${vm.handedOver}`;
  if (!vm.work) return vm.available ? 'available' : 'not available';
  const waits =
    vm.work.waitsFor.length > 0
      ? `, waits for ${vm.work.waitsFor.join(', ')}`
      : '';
  return `${vm.work.kind} ${vm.work.step}: ${vm.work.reason}${waits}`;
}

import type {StepSpecification} from '@gentiandoor/jobs';

/** Processor and memory capacity of a VM or worker. */
export interface VmCapacity {
  readonly processorMillicores: number;
  readonly memoryMegabytes: number;
}

/**
 * Returns the millicores of a VM that a task of `step` makes unavailable to others: by
 * its processor time or by its memory, whichever fills the VM first.
 * Load: tasks that need much memory relative to their processor time. Without it, a
 * pool whose memory is used up looks half empty, no VM is moved into it, and its work
 * keeps waiting.
 */
export function dominantResourceMillicores(
  step: StepSpecification,
  capacity: VmCapacity | undefined,
): number {
  if (step.bestEffort) return 0;
  if (!capacity || capacity.memoryMegabytes <= 0)
    return step.processorMillicores;
  const share = step.memoryMegabytes / capacity.memoryMegabytes;
  return Math.max(
    step.processorMillicores,
    share * capacity.processorMillicores,
  );
}

/**
 * Returns the largest capacity, which is that of a whole VM; undefined if there is
 * none.
 * Load: a VM whose capacity has shrunk while it runs. Without it, a pool that happens
 * to list that VM first treats all its VMs as equally small, and far too many are moved
 * into it.
 */
export function largestCapacity<Capacity extends VmCapacity>(
  capacities: Iterable<Capacity>,
): Capacity | undefined {
  let largest: Capacity | undefined;
  for (const capacity of capacities)
    if (!largest || capacity.processorMillicores > largest.processorMillicores)
      largest = capacity;
  return largest;
}

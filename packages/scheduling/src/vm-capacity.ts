import type {StepSpecification} from '@gentiandoor/jobs';

/** Room of a VM or worker. */
export interface VmCapacity {
  readonly processorMillicores: number;
  readonly memoryMegabytes: number;
}

/**
 * Millicores of a VM that a task of `step` takes away from others, by its processor time or by its
 * memory, whichever fills the VM first.
 * Load: tasks that need much memory for their processor time. Without it a pool whose memory is used
 * up looks half empty, no VM is fetched for it, and its work waits.
 */
export function dominantResourceMillicores(
  step: StepSpecification,
  room: VmCapacity | undefined,
): number {
  if (step.bestEffort) return 0;
  if (!room || room.memoryMegabytes <= 0) return step.processorMillicores;
  const share = step.memoryMegabytes / room.memoryMegabytes;
  return Math.max(step.processorMillicores, share * room.processorMillicores);
}

/**
 * Room of a whole VM among `rooms`; undefined for none.
 * Load: a VM whose room has shrunk while it runs. Without it a pool that happens to list that VM first
 * counts all its VMs as so small, and far too many are fetched.
 */
export function largestCapacity<Room extends VmCapacity>(
  rooms: Iterable<Room>,
): Room | undefined {
  let largest: Room | undefined;
  for (const room of rooms)
    if (!largest || room.processorMillicores > largest.processorMillicores)
      largest = room;
  return largest;
}

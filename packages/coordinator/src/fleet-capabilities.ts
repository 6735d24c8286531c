import type {StepSpecification} from '@gentiandoor/jobs';
import type {Resources} from '@gentiandoor/organisations';
import {VmState, type ListedVm} from './vm-gateway.js';

/** VMs of one pool and of the same capacity. */
interface VmKind {
  readonly pool: string;
  readonly capacity: Resources;
}

/**
 * What the listed VMs can run, by label.
 * Load: work that waits for a label or size that no VM has, or only VMs that are in its pool
 * already. Without it, its pool takes the VMs of all others, one after the other.
 */
export class FleetCapabilities {
  /** Kinds of VMs that have a label; those of all VMs under the empty label. */
  private readonly kindsByLabel = new Map<string, Map<string, VmKind>>();

  constructor(vms: readonly ListedVm[]) {
    for (const vm of vms)
      if (vm.state !== VmState.Down)
        for (const label of ['', ...vm.labels]) this.add(label, vm);
  }

  /** Returns whether a VM could run a task of `step`; VMs of the pool `except` do not count. */
  canRun(step: StepSpecification, except?: string): boolean {
    const kinds = this.kindsByLabel.get(step.requiredLabel)?.values() ?? [];
    for (const {pool, capacity} of kinds)
      if (pool !== except && isLargeEnough(capacity, step)) return true;
    return false;
  }

  private add(label: string, {pool, capacity}: ListedVm): void {
    const kinds = this.kindsByLabel.get(label) ?? new Map<string, VmKind>();
    const {processorMillicores, memoryMegabytes, accelerators} = capacity;
    const key = `${processorMillicores}/${memoryMegabytes}/${accelerators}/${pool}`;
    this.kindsByLabel.set(label, kinds.set(key, {pool, capacity}));
  }
}

/** Returns whether a VM could run a task of `step` if nothing else ran on it. */
export function couldRun(
  {labels, capacity}: ListedVm,
  step: StepSpecification,
): boolean {
  const hasLabel = !step.requiredLabel || labels.includes(step.requiredLabel);
  return hasLabel && isLargeEnough(capacity, step);
}

function isLargeEnough(capacity: Resources, step: StepSpecification): boolean {
  return (
    (step.bestEffort ||
      step.processorMillicores <= capacity.processorMillicores) &&
    step.memoryMegabytes <= capacity.memoryMegabytes &&
    step.accelerators <= capacity.accelerators
  );
}

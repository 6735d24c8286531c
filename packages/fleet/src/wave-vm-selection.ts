import type {RejectedAlternative} from '@gentiandoor/kernel';
import {
  capacityIndexOf,
  checkPlannedStop,
  type FleetState,
  type PlannedWork,
} from '@gentiandoor/shared-state';
import type {DataCentreVms} from './wave-order.js';

/** Maximum alternatives named in one decision; more add no information. */
const MAXIMUM_REJECTED_ALTERNATIVES = 5;

/** Inputs of a selection of VMs. */
export interface VmSelectionInput {
  readonly vmsByDataCentre: readonly DataCentreVms[];
  /** The data centre in which VMs are already out; nothing is taken elsewhere. */
  readonly currentDataCentre: string | undefined;
  /** Maximum VMs that the pace still allows. */
  readonly maximumVms: number;
  /** Pools already used in this round; the selection adds to them. */
  readonly usedPools: Set<string>;
  /** Whether the wave still has to take a VM. */
  isRemaining(vm: string): boolean;
}

/** The VMs that a wave takes in one round, and the rejected alternatives. */
export interface VmSelection {
  /** Undefined if nothing is taken. */
  readonly dataCentreVms: DataCentreVms | undefined;
  readonly vms: readonly string[];
  readonly turnedDown: readonly RejectedAlternative[];
}

/** Returns the data centre of the VMs under maintenance; undefined if there are none. */
export function currentDataCentreOf(
  state: FleetState,
  active: readonly PlannedWork[],
): string | undefined {
  if (active.length === 0) return undefined;
  return capacityIndexOf(state).locationOf(active[0].vm).dataCentre;
}

/** Selects VMs in the first data centre where the budgets allow any to be taken. */
export function selectVms(
  state: FleetState,
  input: VmSelectionInput,
): VmSelection {
  const turnedDown: RejectedAlternative[] = [];
  for (const dataCentreVms of input.vmsByDataCentre) {
    const isElsewhere =
      input.currentDataCentre !== undefined &&
      dataCentreVms.dataCentre !== input.currentDataCentre;
    if (isElsewhere) continue;
    const vms = selectInDataCentre(state, dataCentreVms, input, turnedDown);
    if (vms.length > 0) return {dataCentreVms, vms, turnedDown};
  }
  return {dataCentreVms: undefined, vms: [], turnedDown};
}

function selectInDataCentre(
  state: FleetState,
  dataCentreVms: DataCentreVms,
  input: VmSelectionInput,
  turnedDown: RejectedAlternative[],
): string[] {
  const {maximumVms, usedPools} = input;
  const chosen: string[] = [];
  const index = capacityIndexOf(state);
  for (const vm of dataCentreVms.vms) {
    if (chosen.length >= maximumVms) break;
    const pool = state.vms.get(vm)?.pool ?? '';
    if (!input.isRemaining(vm) || usedPools.has(pool)) continue;
    // A VM that is down is left to repair: rebooting it would count as the wave's failure.
    if (!index.isAvailable(vm)) continue;
    const refusal = checkPlannedStop(state, vm);
    usedPools.add(pool);
    if (!refusal) chosen.push(vm);
    else if (turnedDown.length < MAXIMUM_REJECTED_ALTERNATIVES)
      turnedDown.push({choice: `take ${vm}`, because: refusal.detail});
  }
  return chosen;
}

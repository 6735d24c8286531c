import type {RejectedAlternative} from '@gentiandoor/kernel';
import {
  capacityIndexOf,
  checkPlannedStop,
  type FleetState,
  type PlannedWork,
} from '@gentiandoor/shared-state';
import type {DataCentreVms} from './wave-order.js';

/** Alternatives named in one decision; more say nothing new. */
const MAXIMUM_REJECTED_ALTERNATIVES = 5;

/** What a choice of VMs starts from. */
export interface VmSelectionInput {
  readonly vmsByDataCentre: readonly DataCentreVms[];
  /** The data centre in which VMs are out already; nothing is taken elsewhere. */
  readonly currentDataCentre: string | undefined;
  /** VMs that the pace still allows. */
  readonly maximumVms: number;
  /** Pools that are done with for this round; the choice adds to them. */
  readonly usedPools: Set<string>;
  /** Whether the wave still has to take a VM. */
  isRemaining(vm: string): boolean;
}

/** The VMs that a wave takes in one round, and what was turned down for them. */
export interface VmSelection {
  /** Undefined when nothing is taken. */
  readonly dataCentreVms: DataCentreVms | undefined;
  readonly vms: readonly string[];
  readonly turnedDown: readonly RejectedAlternative[];
}

/** The data centre of the VMs under way. */
export function currentDataCentreOf(
  state: FleetState,
  active: readonly PlannedWork[],
): string | undefined {
  if (active.length === 0) return undefined;
  return capacityIndexOf(state).locationOf(active[0].vm).dataCentre;
}

/** The first data centre with VMs that the budgets let go, and these VMs. */
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
    if (vms.length > 0) return {dataCentreVms: dataCentreVms, vms, turnedDown};
  }
  return {dataCentreVms: undefined, vms: [], turnedDown};
}

function selectInDataCentre(
  state: FleetState,
  stretch: DataCentreVms,
  input: VmSelectionInput,
  turnedDown: RejectedAlternative[],
): string[] {
  const {maximumVms: room, usedPools: taken} = input;
  const chosen: string[] = [];
  const index = capacityIndexOf(state);
  for (const vm of stretch.vms) {
    if (chosen.length >= room) break;
    const pool = state.vms.get(vm)?.pool ?? '';
    if (!input.isRemaining(vm) || taken.has(pool)) continue;
    // A VM that is down is left to repair: a reboot of it would count as the wave's failure.
    if (!index.isAvailable(vm)) continue;
    const refusal = checkPlannedStop(state, vm);
    taken.add(pool);
    if (!refusal) chosen.push(vm);
    else if (turnedDown.length < MAXIMUM_REJECTED_ALTERNATIVES)
      turnedDown.push({choice: `take ${vm}`, because: refusal.detail});
  }
  return chosen;
}

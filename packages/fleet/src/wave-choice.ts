import type {TurnedDown} from '@gentiandoor/kernel';
import {
  capacityOf,
  checkPlannedStop,
  type FleetState,
  type PlannedWork,
} from '@gentiandoor/shared-state';
import type {WaveStretch} from './wave-order.js';

/** Alternatives named in one decision; more say nothing new. */
const MOST_TURNED_DOWN = 5;

/** What a choice of VMs starts from. */
export interface ChoiceInput {
  readonly stretches: readonly WaveStretch[];
  /** The data centre in which VMs are out already; nothing is taken elsewhere. */
  readonly present: string | undefined;
  /** VMs that the pace still allows. */
  readonly room: number;
  /** Pools that are done with for this round; the choice adds to them. */
  readonly taken: Set<string>;
  /** Whether the wave still has to take a VM. */
  isLeft(vm: string): boolean;
}

/** The VMs that a wave takes in one round, and what was turned down for them. */
export interface Choice {
  /** Undefined when nothing is taken. */
  readonly stretch: WaveStretch | undefined;
  readonly vms: readonly string[];
  readonly turnedDown: readonly TurnedDown[];
}

/** The data centre of the VMs under way. */
export function presentDataCentre(
  state: FleetState,
  active: readonly PlannedWork[],
): string | undefined {
  if (active.length === 0) return undefined;
  return capacityOf(state).place(active[0].vm).dataCentre;
}

/** The first data centre with VMs that the budgets let go, and these VMs. */
export function chooseVms(state: FleetState, input: ChoiceInput): Choice {
  const turnedDown: TurnedDown[] = [];
  for (const stretch of input.stretches) {
    const isElsewhere =
      input.present !== undefined && stretch.dataCentre !== input.present;
    if (isElsewhere) continue;
    const vms = chooseIn(state, stretch, input, turnedDown);
    if (vms.length > 0) return {stretch, vms, turnedDown};
  }
  return {stretch: undefined, vms: [], turnedDown};
}

function chooseIn(
  state: FleetState,
  stretch: WaveStretch,
  input: ChoiceInput,
  turnedDown: TurnedDown[],
): string[] {
  const {room, taken} = input;
  const chosen: string[] = [];
  const index = capacityOf(state);
  for (const vm of stretch.vms) {
    if (chosen.length >= room) break;
    const pool = state.vms.get(vm)?.pool ?? '';
    if (!input.isLeft(vm) || taken.has(pool)) continue;
    // A VM that is down is left to repair: a reboot of it would count as the wave's failure.
    if (!index.isAvailable(vm)) continue;
    const refusal = checkPlannedStop(state, vm);
    taken.add(pool);
    if (!refusal) chosen.push(vm);
    else if (turnedDown.length < MOST_TURNED_DOWN)
      turnedDown.push({choice: `take ${vm}`, because: refusal.detail});
  }
  return chosen;
}

import type {RejectedAlternative} from '@gentiandoor/kernel';
import {
  WaveState,
  WaveVmStep,
  capacityIndexOf,
  vmsInScope,
  checkWaveOverlap,
  type FleetState,
  type PlannedWork,
  type Wave,
  type WaveScope,
} from '@gentiandoor/shared-state';
import {selectVms, currentDataCentreOf} from './wave-vm-selection.js';
import {orderByDomain, type DataCentreVms} from './wave-order.js';
import {wavePace} from './wave-pace.js';
import {activeWork, isRemaining} from './wave-planner.js';

/** VMs of one rack in a wave. */
export interface PreviewedRack {
  readonly dataCentre: string;
  readonly rack: string;
  /** VMs that the wave still has to take there. */
  readonly vms: number;
}

/** What a wave would do in the next planning round; nothing is written. */
export interface WavePreview {
  /** VMs that it still has to take. */
  readonly left: number;
  /** VMs under maintenance now. */
  readonly active: number;
  /** Maximum VMs at one time that its pace allows now. */
  readonly limit: number;
  /** Racks in the order in which it takes them. */
  readonly order: readonly PreviewedRack[];
  /** VMs that it would take now. */
  readonly next: readonly string[];
  /** Why it would take nothing, or no more; one sentence each. */
  readonly heldBack: readonly string[];
  readonly turnedDown: readonly RejectedAlternative[];
}

/** Returns what a running or held wave would do now. */
export function previewWave(state: FleetState, wave: Wave): WavePreview {
  const vms = [...state.waveVms]
    .filter(([, entry]) => entry.wave === wave.id)
    .filter(([, entry]) => entry.step === WaveVmStep.Remaining)
    .map(([vm]) => vm)
    .filter(vm => isRemaining(state, wave, vm));
  const active = activeWork(state).get(wave.id) ?? [];
  return preview(state, wave, vms, active);
}

/** Returns what a wave over these VMs would do if it were started now. */
export function previewScope(state: FleetState, scope: WaveScope): WavePreview {
  const scopeVms = vmsInScope(state, scope);
  const vms = scopeVms.filter(vm => !state.handedOver.has(vm));
  const scopePreview = preview(state, unstarted(vms.length), vms, []);
  const refusal = startRefusal(state, scopeVms);
  if (refusal === undefined) return scopePreview;
  return {...scopePreview, next: [], heldBack: [refusal], turnedDown: []};
}

/** Returns why the fold would refuse to start a wave over these VMs. */
function startRefusal(
  state: FleetState,
  scopeVms: readonly string[],
): string | undefined {
  if (scopeVms.length === 0) return 'the scope covers no VM; widen it';
  return checkWaveOverlap(state, scopeVms)?.detail;
}

function preview(
  state: FleetState,
  wave: Wave,
  vms: readonly string[],
  active: readonly PlannedWork[],
): WavePreview {
  const pace = wavePace(wave, active);
  const vmsByDataCentre = orderByDomain(state, vms);
  const mayTakeVms = wave.state === WaveState.Running && !pace.stopReason;
  const maximumVms = mayTakeVms
    ? Math.max(0, pace.maximumActive - active.length)
    : 0;
  const {vms: next, turnedDown} = selectVms(state, {
    vmsByDataCentre: maximumVms > 0 ? vmsByDataCentre : [],
    currentDataCentre: currentDataCentreOf(state, active),
    maximumVms,
    usedPools: new Set(),
    isRemaining: () => true,
  });
  const heldBack = [
    ...reasons(wave, pace.stopReason, pace.maximumActive, active.length),
  ];
  if (heldBack.length === 0 && next.length === 0 && vms.length > 0)
    heldBack.push('no VM that is left can be taken now');
  const order = racksOf(state, vmsByDataCentre);
  const counts = {
    left: vms.length,
    active: active.length,
    limit: pace.maximumActive,
  };
  return {...counts, order, next, heldBack, turnedDown};
}

function* reasons(
  wave: Wave,
  stopReason: string | undefined,
  limit: number,
  active: number,
): Generator<string> {
  if (wave.state !== WaveState.Running)
    yield `the wave is ${wave.state}: ${wave.stateReason}`;
  else if (stopReason !== undefined) yield stopReason;
  else if (active >= limit)
    yield `${active} VMs are under way and the pace allows ${limit}; it grows with each VM that returns healthy`;
}

function racksOf(
  state: FleetState,
  vmsByDataCentre: readonly DataCentreVms[],
): PreviewedRack[] {
  const index = capacityIndexOf(state);
  return vmsByDataCentre.flatMap(({dataCentre, vms}) => {
    const counts = new Map<string, number>();
    for (const vm of vms) {
      const {rack} = index.locationOf(vm);
      counts.set(rack, (counts.get(rack) ?? 0) + 1);
    }
    return [...counts].map(([rack, count]) => ({dataCentre, rack, vms: count}));
  });
}

function unstarted(total: number): Wave {
  return {
    id: '',
    reason: '',
    startedBy: '',
    startedAt: 0,
    scope: {},
    state: WaveState.Running,
    stateReason: '',
    heldByPlanner: false,
    total,
    remaining: total,
    active: 0,
    done: 0,
    failed: 0,
    handedOver: 0,
    resumedAt: {offset: 0, done: 0, failures: 0},
  };
}

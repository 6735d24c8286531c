import {SubjectKind, type RejectedAlternative} from '@gentiandoor/kernel';
import {
  RecordKind,
  WaveChange,
  WaveState,
  WaveVmStep,
  PlannedWorkKind,
  isWaveEnded,
  type FleetState,
  type PlannedWork,
  type Wave,
} from '@gentiandoor/shared-state';
import type {
  PlannerInput,
  PlanningStage,
  ProposedRecord,
} from './planner-input.js';
import {selectVms, currentDataCentreOf} from './wave-vm-selection.js';
import {WaveOrder, type DataCentreVms} from './wave-order.js';
import {wavePace, type WavePace} from './wave-pace.js';

/**
 * Takes VMs of running waves out, one data centre after the other, within budgets and pace.
 * Answers a maintenance of every VM: without an order by failure domain a bad reboot reaches
 * all data centres at once; without the pace a shared fault eats each pool to its budget.
 * In one round it takes at most one VM of a pool: the budget counts only what was folded.
 */
export class WavePlanner implements PlanningStage {
  private readonly order = new WaveOrder();

  plan(input: PlannerInput): ProposedRecord[] {
    const waves = [...input.state.waves.values()].filter(
      wave => !isWaveEnded(wave),
    );
    this.order.retain(waves);
    const active = activeWork(input.state);
    const taken = new Set<string>();
    return waves.flatMap(wave =>
      this.planWave(input.state, wave, active.get(wave.id) ?? [], taken),
    );
  }

  private planWave(
    state: FleetState,
    wave: Wave,
    active: readonly PlannedWork[],
    taken: Set<string>,
  ): ProposedRecord[] {
    if (wave.state !== WaveState.Running) return [];
    const pace = wavePace(wave, active);
    if (pace.stopReason !== undefined)
      return [hold(wave, pace, pace.stopReason)];
    if (active.length === 0 && this.isDone(state, wave)) return [finish(wave)];
    const room = pace.maximumActive - active.length;
    if (room <= 0) return [];
    return this.startVms(state, wave, active, pace, room, taken);
  }

  private startVms(
    state: FleetState,
    wave: Wave,
    active: readonly PlannedWork[],
    pace: WavePace,
    maximumVms: number,
    usedPools: Set<string>,
  ): ProposedRecord[] {
    const {
      dataCentreVms: stretch,
      vms,
      turnedDown,
    } = selectVms(state, {
      vmsByDataCentre: this.order.vmsByDataCentre(state, wave),
      currentDataCentre: currentDataCentreOf(state, active),
      maximumVms: maximumVms,
      usedPools: usedPools,
      isRemaining: vm => isRemaining(state, wave, vm),
    });
    if (!stretch) return [];
    return vms.map(vm => start(wave, vm, stretch, pace, turnedDown));
  }

  private isDone(state: FleetState, wave: Wave): boolean {
    return this.order
      .vmsByDataCentre(state, wave)
      .every(({vms}) => vms.every(vm => !isRemaining(state, wave, vm)));
  }
}

/** Work of waves that is under way, by wave. */
export function activeWork(state: FleetState): Map<string, PlannedWork[]> {
  const byWave = new Map<string, PlannedWork[]>();
  for (const work of state.work.values()) {
    if (work.kind !== PlannedWorkKind.Maintenance || work.wave === undefined)
      continue;
    const list = byWave.get(work.wave) ?? [];
    list.push(work);
    byWave.set(work.wave, list);
  }
  return byWave;
}

/** Whether the wave still has to take the VM: not yet taken, still owned, not in operators' hands. */
export function isRemaining(
  state: FleetState,
  wave: Wave,
  vm: string,
): boolean {
  const entry = state.waveVms.get(vm);
  return (
    entry?.wave === wave.id &&
    entry.step === WaveVmStep.Remaining &&
    state.vms.has(vm) &&
    !state.handedOver.has(vm)
  );
}

function start(
  wave: Wave,
  vm: string,
  stretch: DataCentreVms,
  pace: WavePace,
  turnedDown: readonly RejectedAlternative[],
): ProposedRecord {
  return {
    record: {
      kind: RecordKind.MaintenanceStarted,
      vm,
      wave: wave.id,
      reason: `wave ${wave.id}: ${wave.reason}`,
    },
    decision: {
      subject: SubjectKind.Vm,
      id: vm,
      decision: `take VM ${vm} out for wave ${wave.id}`,
      rule: 'wave-planner: one data centre after the other, within budgets and pace',
      cause: `wave ${wave.id} by ${wave.startedBy}: ${wave.reason}`,
      evidence: {
        dataCentre: stretch.dataCentre,
        limit: pace.maximumActive,
        active: wave.active,
        done: wave.done,
        total: wave.total,
      },
      turnedDown,
    },
  };
}

function hold(wave: Wave, pace: WavePace, reason: string): ProposedRecord {
  return {
    record: {
      kind: RecordKind.WaveChanged,
      wave: wave.id,
      change: WaveChange.Hold,
      reason,
    },
    decision: {
      subject: SubjectKind.Wave,
      id: wave.id,
      decision: `hold wave ${wave.id}`,
      rule: 'wave-pace: failures after reboot stop the wave',
      cause: reason,
      evidence: {done: pace.done, failures: pace.failures, total: wave.total},
      turnedDown: [
        {choice: 'go on slower', because: 'the failures share the reboot'},
      ],
    },
  };
}

function finish(wave: Wave): ProposedRecord {
  const reason = `${wave.done} done, ${wave.failed} failed, ${wave.handedOver} handed over of ${wave.total}`;
  return {
    record: {
      kind: RecordKind.WaveChanged,
      wave: wave.id,
      change: WaveChange.Finish,
      reason,
    },
    decision: {
      subject: SubjectKind.Wave,
      id: wave.id,
      decision: `finish wave ${wave.id}`,
      rule: 'wave-planner: no VM is left',
      cause: reason,
      evidence: {done: wave.done, total: wave.total},
    },
  };
}

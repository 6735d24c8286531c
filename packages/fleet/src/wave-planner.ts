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
 * Takes VMs of running waves out of service, one data centre after the other, within budgets and
 * pace.
 * Load: maintenance of every VM. Without an order by failure domain a bad reboot reaches all data
 * centres at once; without the pace a shared fault uses up the budget of each pool. Takes at most
 * one VM of a pool per round, since the budget counts only records that were folded.
 */
export class WavePlanner implements PlanningStage {
  private readonly order = new WaveOrder();

  plan(input: PlannerInput): ProposedRecord[] {
    const waves = [...input.state.waves.values()].filter(
      wave => !isWaveEnded(wave),
    );
    this.order.retain(waves);
    const active = activeWork(input.state);
    const usedPools = new Set<string>();
    return waves.flatMap(wave =>
      this.planWave(input.state, wave, active.get(wave.id) ?? [], usedPools),
    );
  }

  private planWave(
    state: FleetState,
    wave: Wave,
    active: readonly PlannedWork[],
    usedPools: Set<string>,
  ): ProposedRecord[] {
    if (wave.state !== WaveState.Running) return [];
    const pace = wavePace(wave, active);
    if (pace.stopReason !== undefined)
      return [hold(wave, pace, pace.stopReason)];
    if (active.length === 0 && this.isDone(state, wave)) return [finish(wave)];
    const remaining = pace.maximumActive - active.length;
    if (remaining <= 0) return [];
    return this.startVms(state, wave, active, pace, remaining, usedPools);
  }

  private startVms(
    state: FleetState,
    wave: Wave,
    active: readonly PlannedWork[],
    pace: WavePace,
    maximumVms: number,
    usedPools: Set<string>,
  ): ProposedRecord[] {
    const {dataCentreVms, vms, turnedDown} = selectVms(state, {
      vmsByDataCentre: this.order.vmsByDataCentre(state, wave),
      currentDataCentre: currentDataCentreOf(state, active),
      maximumVms,
      usedPools,
      isRemaining: vm => isRemaining(state, wave, vm),
    });
    if (!dataCentreVms) return [];
    return vms.map(vm => start(wave, vm, dataCentreVms, pace, turnedDown));
  }

  private isDone(state: FleetState, wave: Wave): boolean {
    return this.order
      .vmsByDataCentre(state, wave)
      .every(({vms}) => vms.every(vm => !isRemaining(state, wave, vm)));
  }
}

/** Returns the maintenance in progress, by wave. */
export function activeWork(state: FleetState): Map<string, PlannedWork[]> {
  const byWave = new Map<string, PlannedWork[]>();
  for (const work of state.work.values()) {
    if (work.kind !== PlannedWorkKind.Maintenance || work.wave === undefined)
      continue;
    const works = byWave.get(work.wave) ?? [];
    works.push(work);
    byWave.set(work.wave, works);
  }
  return byWave;
}

/**
 * Whether the wave still has to take the VM: not yet taken, still owned, and not handed over to
 * operators.
 */
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
  dataCentreVms: DataCentreVms,
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
        dataCentre: dataCentreVms.dataCentre,
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
        {
          choice: 'continue more slowly',
          because: 'the failures have the reboot in common',
        },
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

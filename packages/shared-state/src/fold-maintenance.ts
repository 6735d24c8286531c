import {
  WaveState,
  WaveVmStep,
  PlannedWorkKind,
  PlannedWorkStep,
  type PlannedWork,
  type Wave,
} from './planning-state.js';
import {
  MaintenanceOutcome,
  VmCondition,
  type MaintenanceAsked,
  type MaintenanceEnded,
  type MaintenanceReturned,
  type MaintenanceStarted,
} from './planning-records.js';
import {
  RejectionReason,
  type FleetState,
  type Rejection,
} from './fleet-state.js';
import {fenceOrRenewPlanner} from './fold-planner.js';
import {
  checkDrained,
  findVm,
  findPlannedWork,
  isRejection,
  setPlannedWork,
  startPlannedWork,
} from './planned-work.js';

/** Takes a VM out of service for its wave, or starts the repair of a VM that is down. */
export function applyMaintenanceStarted(
  state: FleetState,
  record: MaintenanceStarted,
  offset: number,
): Rejection | undefined {
  const fenced = fenceOrRenewPlanner(state, record, offset);
  if (fenced) return fenced;
  const vm = findVm(state, record.vm);
  if (isRejection(vm)) return vm;
  const refusal =
    record.wave === undefined
      ? checkRepair(state, record.vm)
      : checkWaveVm(state, record.wave, record.vm);
  if (refusal) return refusal;
  const rejection = startPlannedWork(state, {
    vm: record.vm,
    kind:
      record.wave === undefined
        ? PlannedWorkKind.Repair
        : PlannedWorkKind.Maintenance,
    step: PlannedWorkStep.Draining,
    reason: record.reason,
    writer: record.writer,
    startedAt: offset,
    wave: record.wave,
  });
  if (rejection) return rejection;
  updateWave(state, record.wave, record.vm, WaveVmStep.Active, wave => ({
    remaining: wave.remaining - 1,
    active: wave.active + 1,
  }));
  return undefined;
}

/**
 * Records that an action is requested from the platform; rejected before the drain is complete,
 * since a reboot would then abort requests.
 */
export function applyMaintenanceAsked(
  state: FleetState,
  record: MaintenanceAsked,
  offset: number,
): Rejection | undefined {
  const work = findMaintenance(state, record, offset);
  if (isRejection(work)) return work;
  const refusal = checkPlatformRequest(state, work, record);
  if (refusal) return refusal;
  setPlannedWork(state, record.vm, {
    ...work,
    step: PlannedWorkStep.Asked,
    attempts: record.attempt,
    lastAction: record.action,
  });
  return undefined;
}

/** Puts the VM back into service on trial. */
export function applyMaintenanceReturned(
  state: FleetState,
  record: MaintenanceReturned,
  offset: number,
): Rejection | undefined {
  const work = findMaintenance(state, record, offset);
  if (isRejection(work)) return work;
  if (work.step === PlannedWorkStep.Trial)
    return workStateRejection(work, 'is on trial already');
  setPlannedWork(state, record.vm, {...work, step: PlannedWorkStep.Trial});
  return undefined;
}

/** Ends the maintenance or repair and counts its outcome in its wave. */
export function applyMaintenanceEnded(
  state: FleetState,
  record: MaintenanceEnded,
  offset: number,
): Rejection | undefined {
  const work = findMaintenance(state, record, offset);
  if (isRejection(work)) return work;
  if (record.outcome === MaintenanceOutcome.Done) {
    if (work.step !== PlannedWorkStep.Trial)
      return workStateRejection(work, 'is not back in service');
    state.maintainedAt.set(record.vm, record.at);
  }
  if (record.outcome === MaintenanceOutcome.HandedOver)
    state.handedOver.set(record.vm, work.reason);
  if (record.outcome === MaintenanceOutcome.Failed)
    state.failedAttempts.set(record.vm, work.attempts);
  else state.failedAttempts.delete(record.vm);
  setPlannedWork(state, record.vm, undefined);
  countInWave(state, work, record.outcome);
  return undefined;
}

function countInWave(
  state: FleetState,
  work: PlannedWork,
  outcome: MaintenanceOutcome,
): void {
  const step = WAVE_STEP_BY_OUTCOME[outcome];
  updateWave(state, work.wave, work.vm, step, wave => ({
    active: wave.active - 1,
    done: wave.done + (step === WaveVmStep.Done ? 1 : 0),
    failed: wave.failed + (step === WaveVmStep.Failed ? 1 : 0),
    handedOver: wave.handedOver + (step === WaveVmStep.HandedOver ? 1 : 0),
    remaining: wave.remaining + (step === WaveVmStep.Remaining ? 1 : 0),
  }));
}

const WAVE_STEP_BY_OUTCOME: Readonly<Record<MaintenanceOutcome, WaveVmStep>> = {
  [MaintenanceOutcome.Done]: WaveVmStep.Done,
  [MaintenanceOutcome.Failed]: WaveVmStep.Failed,
  [MaintenanceOutcome.HandedOver]: WaveVmStep.HandedOver,
  [MaintenanceOutcome.Abandoned]: WaveVmStep.Remaining,
};

/** Updates the counts of a wave and the step of one VM; an ended wave has no entries for VMs. */
function updateWave(
  state: FleetState,
  id: string | undefined,
  vm: string,
  step: WaveVmStep,
  change: (wave: Wave) => Partial<Wave>,
): void {
  const wave = state.waves.get(id ?? '');
  if (!wave) return;
  state.waves.set(wave.id, {...wave, ...change(wave)});
  const entry = state.waveVms.get(vm);
  if (entry?.wave === wave.id) state.waveVms.set(vm, {...entry, step});
}

function checkRepair(state: FleetState, vm: string): Rejection | undefined {
  const condition = state.conditions.get(vm);
  if (condition === VmCondition.Down || condition === VmCondition.Suspected)
    return undefined;
  return {
    reason: RejectionReason.WorkState,
    detail: `VM ${vm} is ${condition ?? VmCondition.Up}; only a VM that is down or suspected is repaired`,
  };
}

function checkWaveVm(
  state: FleetState,
  id: string,
  vm: string,
): Rejection | undefined {
  const wave = state.waves.get(id);
  if (!wave)
    return {reason: RejectionReason.WaveUnknown, detail: `no wave ${id}`};
  if (wave.state !== WaveState.Running) {
    return {
      reason: RejectionReason.WaveState,
      detail: `wave ${id} is ${wave.state}: ${wave.stateReason}`,
    };
  }
  const entry = state.waveVms.get(vm);
  if (entry?.wave === id && entry.step === WaveVmStep.Remaining)
    return undefined;
  return {
    reason: RejectionReason.WaveState,
    detail: `VM ${vm} is not among the remaining VMs of wave ${id}`,
  };
}

function findMaintenance(
  state: FleetState,
  record: {vm: string; startedAt: number; term: number; writer: string},
  offset: number,
): PlannedWork | Rejection {
  const fenced = fenceOrRenewPlanner(state, record, offset);
  if (fenced) return fenced;
  const work = findPlannedWork(state, record.vm, record.startedAt);
  if (isRejection(work)) return work;
  const {kind} = work;
  if (kind === PlannedWorkKind.Maintenance || kind === PlannedWorkKind.Repair)
    return work;
  return workStateRejection(work, `is a ${kind}`);
}

function checkPlatformRequest(
  state: FleetState,
  work: PlannedWork,
  record: MaintenanceAsked,
): Rejection | undefined {
  if (record.attempt !== work.attempts + 1)
    return workStateRejection(work, `has had ${work.attempts} attempts`);
  if (work.step === PlannedWorkStep.Trial)
    return workStateRejection(work, 'is on trial');
  const wave = state.waves.get(work.wave ?? '');
  const aborted = wave?.state === WaveState.Aborted;
  if (aborted && work.step === PlannedWorkStep.Draining)
    return workStateRejection(
      work,
      `belongs to wave ${wave.id}, which was aborted`,
    );
  return checkDrained(state, work);
}

function workStateRejection(work: PlannedWork, problem: string): Rejection {
  return {
    reason: RejectionReason.WorkState,
    detail: `the ${work.kind} of VM ${work.vm} ${problem}`,
  };
}

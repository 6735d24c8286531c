import {capacityIndexOf} from './capacity-index.js';
import {WaveState, WaveVmStep, type Wave} from './planning-state.js';
import {
  WaveChange,
  type WaveChanged,
  type WaveScope,
  type WaveStarted,
} from './planning-records.js';
import {
  RejectionReason,
  type FleetState,
  type Rejection,
} from './fleet-state.js';
import {fenceOrRenewPlanner} from './fold-planner.js';

/** Maximum ended waves kept for operators to inspect; the oldest is evicted first. */
const MAXIMUM_ENDED_WAVES = 32;

/** Starts a wave for the VMs that its scope covers at this offset. */
export function applyWaveStarted(
  state: FleetState,
  record: WaveStarted,
  offset: number,
): Rejection | undefined {
  const fenced = fenceOrRenewPlanner(state, record, offset);
  if (fenced) return fenced;
  if (state.waves.has(record.wave))
    return waveStateRejection(
      record.wave,
      'exists already; choose another name',
    );
  const covered = vmsInScope(state, record.scope);
  if (covered.length === 0)
    return waveStateRejection(record.wave, 'covers no VM; widen its scope');
  const overlap = checkWaveOverlap(state, covered);
  if (overlap) return overlap;
  state.waves.set(record.wave, {
    id: record.wave,
    reason: record.reason,
    startedBy: record.writer,
    startedAt: offset,
    scope: record.scope,
    state: WaveState.Running,
    stateReason: record.reason,
    heldByPlanner: false,
    total: covered.length,
    remaining: covered.length,
    active: 0,
    done: 0,
    failed: 0,
    handedOver: 0,
    resumedAt: {offset, done: 0, failures: 0},
  });
  for (const vm of covered) {
    state.waveVms.set(vm, {wave: record.wave, step: WaveVmStep.Remaining});
  }
  pruneEndedWaves(state);
  return undefined;
}

/** Holds, resumes, aborts or finishes a wave. */
export function applyWaveChanged(
  state: FleetState,
  record: WaveChanged,
  offset: number,
): Rejection | undefined {
  const fenced = fenceOrRenewPlanner(state, record, offset);
  if (fenced) return fenced;
  const wave = state.waves.get(record.wave);
  if (!wave) {
    return {
      reason: RejectionReason.WaveUnknown,
      detail: `no wave ${record.wave}; see GET /fleet/waves`,
    };
  }
  const next = nextWaveState(state, wave, record.change);
  if (next === undefined)
    return waveStateRejection(wave.id, `is ${wave.state}: ${wave.stateReason}`);
  const changed: Wave = {
    ...wave,
    resumedAt:
      record.change === WaveChange.Resume
        ? {offset, done: wave.done, failures: wave.failed + wave.handedOver}
        : wave.resumedAt,
    state: next,
    stateReason: record.reason,
    heldByPlanner: next === WaveState.Held && record.term !== undefined,
  };
  state.waves.set(wave.id, changed);
  if (isWaveEnded(changed)) removeWaveVms(state, wave.id);
  return undefined;
}

/** Whether a wave was aborted or finished and takes no more VMs. */
export function isWaveEnded(wave: Wave): boolean {
  return wave.state === WaveState.Aborted || wave.state === WaveState.Finished;
}

function nextWaveState(
  state: FleetState,
  wave: Wave,
  change: WaveChange,
): WaveState | undefined {
  switch (change) {
    case WaveChange.Hold:
      return wave.state === WaveState.Running ? WaveState.Held : undefined;
    case WaveChange.Resume:
      return wave.state === WaveState.Held ? WaveState.Running : undefined;
    case WaveChange.Abort:
      return isWaveEnded(wave) ? undefined : WaveState.Aborted;
    case WaveChange.Finish:
      return canFinishWave(state, wave) ? WaveState.Finished : undefined;
    default:
      return undefined;
  }
}

/** Whether the remaining VMs were all handed over to operators or are no longer owned by a pool. */
function canFinishWave(state: FleetState, wave: Wave): boolean {
  if (isWaveEnded(wave) || wave.active > 0) return false;
  if (wave.remaining === 0) return true;
  for (const [vm, entry] of state.waveVms) {
    if (entry.wave !== wave.id || entry.step !== WaveVmStep.Remaining) continue;
    if (state.vms.has(vm) && !state.handedOver.has(vm)) return false;
  }
  return true;
}

/** Returns the ids of the VMs that a scope covers now. */
export function vmsInScope(state: FleetState, scope: WaveScope): string[] {
  const index = capacityIndexOf(state);
  const pools = scope.pools && new Set(scope.pools);
  const dataCentres = scope.dataCentres && new Set(scope.dataCentres);
  const since = scope.notMaintainedSince;
  const covered: string[] = [];
  for (const {id, pool} of state.vms.values()) {
    if (pools && !pools.has(pool)) continue;
    if (dataCentres && !dataCentres.has(index.locationOf(id).dataCentre))
      continue;
    const maintainedAt = state.maintainedAt.get(id) ?? 0;
    if (since !== undefined && maintainedAt >= since) continue;
    covered.push(id);
  }
  return covered;
}

/**
 * Rejects VMs that are already in a wave; two operators with overlapping waves would reboot
 * them twice.
 */
export function checkWaveOverlap(
  state: FleetState,
  covered: readonly string[],
): Rejection | undefined {
  const shared = covered.filter(vm => state.waveVms.has(vm));
  if (shared.length === 0) return undefined;
  const other = state.waves.get(state.waveVms.get(shared[0])?.wave ?? '');
  return {
    reason: RejectionReason.WaveOverlap,
    detail: `wave ${other?.id} of ${other?.startedBy} covers ${shared[0]} and possibly more of these VMs (${shared.length} are already in waves); narrow the scope or abort that wave`,
  };
}

function removeWaveVms(state: FleetState, wave: string): void {
  for (const [vm, entry] of state.waveVms) {
    if (entry.wave === wave) state.waveVms.delete(vm);
  }
}

function pruneEndedWaves(state: FleetState): void {
  const ended = [...state.waves.values()].filter(isWaveEnded);
  for (const wave of ended.slice(0, -MAXIMUM_ENDED_WAVES)) {
    if (wave.active === 0) state.waves.delete(wave.id);
  }
}

function waveStateRejection(wave: string, problem: string): Rejection {
  return {
    reason: RejectionReason.WaveState,
    detail: `wave ${wave} ${problem}`,
  };
}

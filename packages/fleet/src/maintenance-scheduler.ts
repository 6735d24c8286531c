import {SubjectKind} from '@gentiandoor/kernel';
import {
  RecordKind,
  isWaveEnded,
  type FleetState,
} from '@gentiandoor/shared-state';
import type {
  PlannerInput,
  PlanningStage,
  ProposedRecord,
} from './planner-input.js';

const NAME_PREFIX = 'calendar-';
const DAY_MILLISECONDS = 86_400_000;
/** A wave starts when some VM has used up this share of the period. */
const SHARE_TO_START = 0.8;
/** The wave covers all VMs past this share of the period, so that waves are few and large. */
const SHARE_TO_COVER = 0.5;
/**
 * Minimum time between two starts. Without it, after an operator aborts a wave, or a wave ends with
 * failed VMs, the next one would start within a second, since the oldest maintenance is as old as
 * before. A day gives an operator time to look, and is short compared with a fifth of a period.
 */
const MINIMUM_START_INTERVAL_MILLISECONDS = DAY_MILLISECONDS;

/**
 * Starts waves automatically, so that every VM is maintained once per period.
 * Load: a fleet in which nobody starts waves, or in which VMs that were down during one wave would
 * wait for the next but one. At most one wave runs at a time, and none starts while another is
 * running or held: an operator who holds a wave has a reason. Wall time only decides when to start.
 */
export class MaintenanceScheduler implements PlanningStage {
  constructor(private readonly periodDays: number) {}

  plan(input: PlannerInput): ProposedRecord[] {
    const {state, wallNow} = input;
    for (const wave of state.waves.values()) if (!isWaveEnded(wave)) return [];
    if (wallNow - lastStart(state) < MINIMUM_START_INTERVAL_MILLISECONDS)
      return [];
    const period = this.periodDays * DAY_MILLISECONDS;
    const oldest = oldestMaintenance(state);
    if (oldest === undefined) return [];
    if (wallNow - oldest < period * SHARE_TO_START) return [];
    const coversBefore = Math.floor(wallNow - period * SHARE_TO_COVER);
    return [start(coversBefore, Math.floor(wallNow), oldest)];
  }
}

/**
 * Returns the time of the least recent maintenance; 0 if a VM was never maintained, undefined if
 * there is no VM to maintain.
 */
function oldestMaintenance(state: FleetState): number | undefined {
  let oldest: number | undefined;
  for (const vm of state.vms.keys()) {
    if (state.handedOver.has(vm)) continue;
    const latest = state.maintainedAt.get(vm) ?? 0;
    if (oldest === undefined || latest < oldest) oldest = latest;
  }
  return oldest;
}

/** Returns the wall time of the last remembered start, which is encoded in the name of the wave. */
function lastStart(state: FleetState): number {
  let latest = -Infinity;
  for (const id of state.waves.keys()) {
    if (!id.startsWith(NAME_PREFIX)) continue;
    const at = Number(id.slice(NAME_PREFIX.length));
    if (Number.isFinite(at)) latest = Math.max(latest, at);
  }
  return latest;
}

function start(
  coversBefore: number,
  wallNow: number,
  oldest: number,
): ProposedRecord {
  const wave = `${NAME_PREFIX}${wallNow}`;
  const reason = 'every VM is maintained once a period';
  return {
    record: {
      kind: RecordKind.WaveStarted,
      wave,
      reason,
      scope: {notMaintainedSince: Math.max(0, coversBefore)},
    },
    decision: {
      subject: SubjectKind.Wave,
      id: wave,
      decision: `start wave ${wave}`,
      rule: 'maintenance-calendar: the least recent maintenance is four fifths of a period ago',
      cause: reason,
      evidence: {leastRecentAt: oldest, coversBefore},
    },
  };
}

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
/** It covers all VMs past this share, so that waves are few and large. */
const SHARE_TO_COVER = 0.5;
/**
 * Least time between two starts. Without it a wave that an operator aborts, or one that ends
 * with VMs that failed, is followed by the next within a second, since the oldest maintenance
 * is as old as before. A day is what an operator needs to look, and little of a fifth of a period.
 */
const MINIMUM_START_INTERVAL_MILLISECONDS = DAY_MILLISECONDS;

/**
 * Starts waves by itself, so that every VM is maintained once a period. Answers a fleet in
 * which nobody starts waves, or in which VMs that were down in one wave would wait for the
 * next but one. At most one wave at a time, and none while another is running or held:
 * an operator who holds a wave has a reason. Wall time decides only when to start.
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
    const since = Math.floor(wallNow - period * SHARE_TO_COVER);
    return [start(since, Math.floor(wallNow), oldest)];
  }
}

/** Time of the least recent maintenance; 0 for a VM that never had one. */
function oldestMaintenance(state: FleetState): number | undefined {
  let oldest: number | undefined;
  for (const vm of state.vms.keys()) {
    if (state.handedOver.has(vm)) continue;
    const last = state.maintainedAt.get(vm) ?? 0;
    if (oldest === undefined || last < oldest) oldest = last;
  }
  return oldest;
}

/** Wall time of the last start that is remembered; its name tells it. */
function lastStart(state: FleetState): number {
  let last = -Infinity;
  for (const id of state.waves.keys()) {
    if (!id.startsWith(NAME_PREFIX)) continue;
    const at = Number(id.slice(NAME_PREFIX.length));
    if (Number.isFinite(at)) last = Math.max(last, at);
  }
  return last;
}

function start(since: number, wallNow: number, oldest: number): ProposedRecord {
  const wave = `${NAME_PREFIX}${wallNow}`;
  const reason = 'every VM is maintained once a period';
  return {
    record: {
      kind: RecordKind.WaveStarted,
      wave,
      reason,
      scope: {notMaintainedSince: Math.max(0, since)},
    },
    decision: {
      subject: SubjectKind.Wave,
      id: wave,
      decision: `start wave ${wave}`,
      rule: 'maintenance-calendar: the least recent maintenance is four fifths of a period ago',
      cause: reason,
      evidence: {leastRecentAt: oldest, coversBefore: since},
    },
  };
}

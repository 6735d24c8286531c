import {SubjectKind} from '@gentiandoor/kernel';
import {RecordKind, isEnded, type FleetState} from '@gentiandoor/shared-state';
import type {PlannerInput, PlannerPart, Proposal} from './planner-input.js';

const DAY_MILLISECONDS = 86_400_000;
/** A wave starts when some VM has used up this share of the period. */
const SHARE_TO_START = 0.8;
/** It covers all VMs past this share, so that waves are few and large. */
const SHARE_TO_COVER = 0.5;

/**
 * Starts waves by itself, so that every VM is maintained once a period. Answers a fleet in
 * which nobody starts waves, or in which VMs that were down in one wave would wait for the
 * next but one. At most one wave at a time, and none while another is running or held:
 * an operator who holds a wave has a reason. Wall time decides only when to start.
 */
export class MaintenanceCalendar implements PlannerPart {
  constructor(private readonly periodDays: number) {}

  plan(input: PlannerInput): Proposal[] {
    const {state, wallNow} = input;
    for (const wave of state.waves.values()) if (!isEnded(wave)) return [];
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

function start(since: number, wallNow: number, oldest: number): Proposal {
  const wave = `calendar-${wallNow}`;
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

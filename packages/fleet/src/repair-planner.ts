import {SubjectKind} from '@gentiandoor/kernel';
import {
  RecordKind,
  VmCondition,
  PlannedWorkKind,
  capacityIndexOf,
  type FleetState,
} from '@gentiandoor/shared-state';
import type {
  PlannerInput,
  PlanningStage,
  ProposedRecord,
} from './planner-input.js';

/** Bounds of repair. */
export interface RepairOptions {
  /** A VM may come back by itself for this long, in milliseconds. */
  readonly graceMilliseconds: number;
  /** Repairs at one time, as a share of the fleet and at least `leastAtOnce`. */
  readonly maximumConcurrentShare: number;
  readonly minimumConcurrent: number;
  /** With more of a data centre's VMs away than this, the fault is not theirs. */
  readonly maximumDataCentreShare: number;
}

/** 10,000 of 31,000 VMs restart in a day by themselves; most are back within minutes. */
export const REPAIR_DEFAULTS: RepairOptions = {
  graceMilliseconds: 300_000,
  maximumConcurrentShare: 0.01,
  minimumConcurrent: 2,
  maximumDataCentreShare: 0.25,
};

/**
 * Starts the repair of VMs that stay down. Answers lost VMs, racks and data centres: without
 * the bounds a data centre that was only cut off would be rebooted whole, and a shared fault
 * would be met by rebooting everything at once.
 */
export class RepairPlanner implements PlanningStage {
  private readonly downSince = new Map<string, number>();

  constructor(private readonly options = REPAIR_DEFAULTS) {}

  plan(input: PlannerInput): ProposedRecord[] {
    const {state} = input;
    this.updateDownSince(input);
    let room = this.remainingRepairs(state);
    const cutOff = this.disconnectedDataCentres(state);
    const proposals: ProposedRecord[] = [];
    for (const [vm, since] of this.downSince) {
      if (room <= 0) break;
      if (input.now - since < this.options.graceMilliseconds) continue;
      if (state.work.has(vm) || state.handedOver.has(vm)) continue;
      if (cutOff.has(capacityIndexOf(state).locationOf(vm).dataCentre))
        continue;
      proposals.push(repair(state, vm, input.now - since));
      room--;
    }
    return proposals;
  }

  private updateDownSince(input: PlannerInput): void {
    for (const vm of input.state.conditions.keys()) {
      if (needsRepair(input, vm) && !this.downSince.has(vm))
        this.downSince.set(vm, input.now);
    }
    for (const vm of this.downSince.keys())
      if (!needsRepair(input, vm)) this.downSince.delete(vm);
  }

  private remainingRepairs(state: FleetState): number {
    const {
      maximumConcurrentShare: shareAtOnce,
      minimumConcurrent: leastAtOnce,
    } = this.options;
    let running = 0;
    for (const work of state.work.values())
      if (work.kind === PlannedWorkKind.Repair) running++;
    const most = Math.max(
      leastAtOnce,
      Math.floor(state.vms.size * shareAtOnce),
    );
    return most - running;
  }

  /** Data centres where so many VMs are away that the cause is not in the VMs. */
  private disconnectedDataCentres(state: FleetState): Set<string> {
    const index = capacityIndexOf(state);
    const away = new Map<string, number>();
    for (const vm of state.conditions.keys()) {
      const {dataCentre} = index.locationOf(vm);
      away.set(dataCentre, (away.get(dataCentre) ?? 0) + 1);
    }
    const limits = new Set<string>();
    for (const [dataCentre, count] of away) {
      const total = index.dataCentreSize(dataCentre);
      if (count > 2 && count > total * this.options.maximumDataCentreShare)
        limits.add(dataCentre);
    }
    return limits;
  }
}

/** A VM that only flaps in the list may serve well: without first-hand evidence it is left alone. */
function needsRepair(input: PlannerInput, vm: string): boolean {
  const condition = input.state.conditions.get(vm);
  if (condition === VmCondition.Down) return true;
  return condition === VmCondition.Suspected && input.suspectedVms.has(vm);
}

function repair(
  state: FleetState,
  vm: string,
  downFor: number,
): ProposedRecord {
  const condition = state.conditions.get(vm) ?? VmCondition.Up;
  return {
    record: {
      kind: RecordKind.MaintenanceStarted,
      vm,
      reason: `repair: ${condition} for ${Math.round(downFor / 1000)} s`,
    },
    decision: {
      subject: SubjectKind.Vm,
      id: vm,
      decision: `repair VM ${vm}`,
      rule: 'repair: only what stays away, few at a time, not a whole data centre',
      cause: `the VM is ${condition}`,
      evidence: {
        condition,
        downForMilliseconds: downFor,
        attemptsBefore: state.failedAttempts.get(vm) ?? 0,
      },
      turnedDown: [
        {choice: 'wait for it', because: 'the time for that has passed'},
      ],
    },
  };
}

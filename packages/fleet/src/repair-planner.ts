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

/** Limits of repair. */
export interface RepairOptions {
  /** How long a VM may return by itself, in milliseconds. */
  readonly graceMilliseconds: number;
  /** Maximum concurrent repairs, as a share of the fleet, but at least `minimumConcurrent`. */
  readonly maximumConcurrentShare: number;
  readonly minimumConcurrent: number;
  /** If a larger share of a data centre's VMs is away, the VMs are not at fault. */
  readonly maximumDataCentreShare: number;
}

/** 10,000 of 31,000 VMs restart by themselves in a day; most are back within minutes. */
export const REPAIR_DEFAULTS: RepairOptions = {
  graceMilliseconds: 300_000,
  maximumConcurrentShare: 0.01,
  minimumConcurrent: 2,
  maximumDataCentreShare: 0.25,
};

/**
 * Starts the repair of VMs that stay down.
 * Load: lost VMs, racks and data centres. Without the limits a data centre that was only
 * partitioned would be rebooted as a whole, and a shared fault would be answered by rebooting
 * everything at once.
 */
export class RepairPlanner implements PlanningStage {
  private readonly downSince = new Map<string, number>();

  constructor(private readonly options = REPAIR_DEFAULTS) {}

  plan(input: PlannerInput): ProposedRecord[] {
    const {state} = input;
    this.updateDownSince(input);
    let remaining = this.remainingRepairs(state);
    const disconnected = this.disconnectedDataCentres(state);
    const proposals: ProposedRecord[] = [];
    for (const [vm, since] of this.downSince) {
      if (remaining <= 0) break;
      if (input.now - since < this.options.graceMilliseconds) continue;
      if (state.work.has(vm) || state.handedOver.has(vm)) continue;
      if (disconnected.has(capacityIndexOf(state).locationOf(vm).dataCentre))
        continue;
      proposals.push(repair(state, vm, input.now - since));
      remaining--;
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
    const {maximumConcurrentShare, minimumConcurrent} = this.options;
    let running = 0;
    for (const work of state.work.values())
      if (work.kind === PlannedWorkKind.Repair) running++;
    const maximum = Math.max(
      minimumConcurrent,
      Math.floor(state.vms.size * maximumConcurrentShare),
    );
    return maximum - running;
  }

  /** Returns the data centres where so many VMs are away that the VMs cannot be the cause. */
  private disconnectedDataCentres(state: FleetState): Set<string> {
    const index = capacityIndexOf(state);
    const awayByDataCentre = new Map<string, number>();
    for (const vm of state.conditions.keys()) {
      const {dataCentre} = index.locationOf(vm);
      awayByDataCentre.set(
        dataCentre,
        (awayByDataCentre.get(dataCentre) ?? 0) + 1,
      );
    }
    const disconnected = new Set<string>();
    for (const [dataCentre, count] of awayByDataCentre) {
      const total = index.dataCentreSize(dataCentre);
      if (count > 2 && count > total * this.options.maximumDataCentreShare)
        disconnected.add(dataCentre);
    }
    return disconnected;
  }
}

/**
 * Whether a VM needs repair; without first-hand evidence a VM that only flaps in the list may serve
 * well and is left alone.
 */
function needsRepair(input: PlannerInput, vm: string): boolean {
  const condition = input.state.conditions.get(vm);
  if (condition === VmCondition.Down) return true;
  return condition === VmCondition.Suspected && input.suspectedVms.has(vm);
}

function repair(
  state: FleetState,
  vm: string,
  downMilliseconds: number,
): ProposedRecord {
  const condition = state.conditions.get(vm) ?? VmCondition.Up;
  return {
    record: {
      kind: RecordKind.MaintenanceStarted,
      vm,
      reason: `repair: ${condition} for ${Math.round(downMilliseconds / 1000)} s`,
    },
    decision: {
      subject: SubjectKind.Vm,
      id: vm,
      decision: `repair VM ${vm}`,
      rule: 'repair: only what stays away, few at a time, not a whole data centre',
      cause: `the VM is ${condition}`,
      evidence: {
        condition,
        downForMilliseconds: downMilliseconds,
        attemptsBefore: state.failedAttempts.get(vm) ?? 0,
      },
      turnedDown: [
        {
          choice: 'wait for the VM to return',
          because: 'the grace period has passed',
        },
      ],
    },
  };
}

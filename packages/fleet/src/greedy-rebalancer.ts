import {SubjectKind} from '@gentiandoor/kernel';
import {
  MoveCause,
  RecordKind,
  capacityIndexOf,
  checkPlannedStop,
  type FleetState,
} from '@gentiandoor/shared-state';
import type {
  PlannerInput,
  PlanningStage,
  ProposedRecord,
} from './planner-input.js';

/**
 * Baseline for measurements: evens the pools' spare VMs out at each change, without waiting
 * and without weights. Every failure and every return moves a VM.
 */
export class GreedyRebalancer implements PlanningStage {
  plan(input: PlannerInput): ProposedRecord[] {
    const {state} = input;
    const pools = Object.keys(state.inForce?.bundle.pools ?? {});
    const spares = pools
      .map(pool => ({pool, spare: spareAvailable(state, pool)}))
      .sort((left, right) => left.spare - right.spare);
    const poorest = spares.at(0);
    const richest = spares.at(-1);
    if (!poorest || !richest || richest.spare - poorest.spare < 2) return [];
    const index = capacityIndexOf(state);
    for (const vm of index.pool(richest.pool).vms) {
      if (!index.isAvailable(vm) || state.work.has(vm)) continue;
      if (checkPlannedStop(state, vm, poorest.pool)) continue;
      return [greedyMove(state, vm, poorest.pool)];
    }
    return [];
  }
}

function spareAvailable(state: FleetState, pool: string): number {
  const index = capacityIndexOf(state);
  const needs = index
    .services(pool)
    .map(name => index.service(name)?.budget.availableVms ?? 0);
  return index.pool(pool).available - Math.max(0, ...needs);
}

function greedyMove(
  state: FleetState,
  vm: string,
  toPool: string,
): ProposedRecord {
  const reason = `pool ${toPool} has the fewest VMs to spare`;
  return {
    record: {
      kind: RecordKind.MoveStarted,
      vm,
      epoch: state.vms.get(vm)?.epoch ?? 0,
      toPool,
      cause: MoveCause.Lend,
      reason,
    },
    decision: {
      subject: SubjectKind.Vm,
      id: vm,
      decision: `move VM ${vm} to pool ${toPool}`,
      rule: 'greedy baseline: even spares out at each change',
      cause: reason,
      evidence: {},
    },
  };
}

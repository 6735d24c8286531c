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
 * Baseline for measurements: evens out the pools' spare VMs at each change, without delay and
 * without weights. Every failure and every return moves a VM.
 */
export class GreedyRebalancer implements PlanningStage {
  plan(input: PlannerInput): ProposedRecord[] {
    const {state} = input;
    const pools = Object.keys(state.inForce?.bundle.pools ?? {});
    const spares = pools
      .map(pool => ({pool, spare: spareAvailable(state, pool)}))
      .sort((left, right) => left.spare - right.spare);
    const fewestSpares = spares.at(0);
    const mostSpares = spares.at(-1);
    if (
      !fewestSpares ||
      !mostSpares ||
      mostSpares.spare - fewestSpares.spare < 2
    )
      return [];
    const index = capacityIndexOf(state);
    for (const vm of index.pool(mostSpares.pool).vms) {
      if (!index.isAvailable(vm) || state.work.has(vm)) continue;
      if (checkPlannedStop(state, vm, fewestSpares.pool)) continue;
      return [greedyMove(state, vm, fewestSpares.pool)];
    }
    return [];
  }
}

function spareAvailable(state: FleetState, pool: string): number {
  const index = capacityIndexOf(state);
  const requirements = index
    .services(pool)
    .map(name => index.service(name)?.budget.availableVms ?? 0);
  return index.pool(pool).available - Math.max(0, ...requirements);
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

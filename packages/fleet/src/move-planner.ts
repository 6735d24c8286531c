import {SubjectKind} from '@gentiandoor/kernel';
import {
  MoveCause,
  RecordKind,
  PlannedWorkKind,
  checkPlannedStop,
  isDrained,
  type FleetState,
  type PlannedWork,
  type VmOwnership,
} from '@gentiandoor/shared-state';
import type {
  PlannerInput,
  PlanningStage,
  ProposedRecord,
} from './planner-input.js';

/**
 * Aligns ownership with the bundle's lists and completes moves.
 * Load: a bundle that shifts many VMs. Moves start only within budgets, at most one per pool and
 * round, and a move that waits for a daemon names it. Operators' own moves are not changed until
 * another bundle is in force.
 */
export class MovePlanner implements PlanningStage {
  private readonly misplaced = new Map<string, string>();
  private computedFor: unknown;
  private vmsHash = 0n;

  plan(input: PlannerInput): ProposedRecord[] {
    this.refresh(input.state);
    return [...this.finishMoves(input), ...this.startMoves(input.state)];
  }

  /** Recomputes the VMs that the bundle lists in another pool than the one that owns them. */
  private refresh(state: FleetState): void {
    const isSame =
      this.computedFor === state.inForce && this.vmsHash === state.vms.hash;
    if (isSame) return;
    this.computedFor = state.inForce;
    this.vmsHash = state.vms.hash;
    this.misplaced.clear();
    const pools = state.inForce?.bundle.pools ?? {};
    for (const [pool, entry] of Object.entries(pools)) {
      for (const vm of entry.vms) {
        const owner = state.vms.get(vm)?.pool;
        if (owner === undefined || owner === pool) continue;
        if (overridesBundle(state, vm)) continue;
        this.misplaced.set(vm, pool);
      }
    }
  }

  private startMoves(state: FleetState): ProposedRecord[] {
    const usedPools = new Set<string>();
    const proposals: ProposedRecord[] = [];
    for (const [id, toPool] of this.misplaced) {
      const vm = state.vms.get(id);
      if (!vm || state.work.has(id) || usedPools.has(vm.pool)) continue;
      if (checkPlannedStop(state, id, toPool)) continue;
      usedPools.add(vm.pool);
      proposals.push(startMove(vm, toPool));
    }
    return proposals;
  }

  private finishMoves(input: PlannerInput): ProposedRecord[] {
    const proposals: ProposedRecord[] = [];
    for (const work of input.state.work.values()) {
      if (work.kind !== PlannedWorkKind.Move) continue;
      const proposal = this.finishMove(input, work);
      if (proposal) proposals.push(proposal);
    }
    return proposals;
  }

  private finishMove(
    input: PlannerInput,
    work: PlannedWork,
  ): ProposedRecord | undefined {
    const {state} = input;
    const obsolete = obsoleteReason(state, work);
    if (obsolete !== undefined) return abortMove(work, obsolete);
    if (!isDrained(state, work)) return undefined;
    const vm = state.vms.get(work.vm);
    return vm && assignMove(work, vm);
  }
}

/**
 * Whether an operator's or a lending move is newer than the bundle in force; such a move stands
 * until a later bundle is in force.
 */
function overridesBundle(state: FleetState, vm: string): boolean {
  const deviation = state.deviations.get(vm);
  if (!deviation || deviation.cause === MoveCause.Desired) return false;
  return deviation.offset > (state.inForce?.offset ?? -1);
}

function obsoleteReason(
  state: FleetState,
  work: PlannedWork,
): string | undefined {
  const pool = state.inForce?.bundle.pools[work.toPool ?? ''];
  if (!pool) return `pool ${work.toPool} has left the bundle`;
  if (work.cause !== MoveCause.Desired || pool.vms.includes(work.vm))
    return undefined;
  return `the bundle no longer lists VM ${work.vm} in pool ${work.toPool}`;
}

function startMove(vm: VmOwnership, toPool: string): ProposedRecord {
  const reason = `the bundle lists it in pool ${toPool}`;
  return {
    record: {
      kind: RecordKind.MoveStarted,
      vm: vm.id,
      epoch: vm.epoch,
      toPool,
      cause: MoveCause.Desired,
      reason,
    },
    decision: {
      subject: SubjectKind.Vm,
      id: vm.id,
      decision: `release VM ${vm.id} from pool ${vm.pool} towards ${toPool}`,
      rule: 'move-planner: ownership follows the bundle within budgets',
      cause: reason,
      evidence: {pool: vm.pool, epoch: vm.epoch},
    },
  };
}

function assignMove(work: PlannedWork, vm: VmOwnership): ProposedRecord {
  const {epoch} = vm;
  const {startedAt} = work;
  return {
    record: {kind: RecordKind.MoveAssigned, vm: vm.id, startedAt, epoch},
    decision: {
      subject: SubjectKind.Vm,
      id: vm.id,
      decision: `give VM ${vm.id} to pool ${work.toPool}`,
      rule: 'move-planner: assignment after every daemon has acknowledged',
      cause: work.reason,
      evidence: {epoch: epoch + 1, startedAt},
    },
  };
}

function abortMove(work: PlannedWork, reason: string): ProposedRecord {
  const {vm, startedAt} = work;
  return {
    record: {kind: RecordKind.MoveAborted, vm, startedAt, reason},
    decision: {
      subject: SubjectKind.Vm,
      id: vm,
      decision: `leave VM ${vm} where it is`,
      rule: 'move-planner: a move whose aim has gone is aborted',
      cause: reason,
      evidence: {startedAt},
    },
  };
}

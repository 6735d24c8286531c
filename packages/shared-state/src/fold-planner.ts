import {capacityIndexOf} from './capacity-index.js';
import {PLANNER_KEY, plannerOf} from './planning-state.js';
import {
  VmCondition,
  type PlannerRenewed,
  type PlannerTaken,
  type VmReported,
} from './planning-records.js';
import {
  RejectionReason,
  type FleetState,
  type Rejection,
} from './fleet-state.js';

/**
 * Makes one daemon the planner. Two daemons that try at the same time expect the same term: the
 * second one in the log is rejected, so there is never more than one planner at an offset.
 */
export function applyPlannerTaken(
  state: FleetState,
  record: PlannerTaken,
  offset: number,
): Rejection | undefined {
  const {term, holder} = plannerOf(state);
  if (record.expectedTerm !== term) {
    return {
      reason: RejectionReason.StaleTerm,
      detail: `term ${term} is held by ${holder}, not ${record.expectedTerm}; read the newer records before trying again`,
    };
  }
  if (!state.members.has(record.holder)) {
    return {
      reason: RejectionReason.MemberUnknown,
      detail: `${record.holder} is not a member and cannot become the planner`,
    };
  }
  state.planner.set(PLANNER_KEY, {
    term: term + 1,
    holder: record.holder,
    heardAt: offset,
  });
  return undefined;
}

/** Renews the planner's term. */
export function applyPlannerRenewed(
  state: FleetState,
  record: PlannerRenewed,
  offset: number,
): Rejection | undefined {
  return fenceOrRenewPlanner(state, record, offset);
}

/** Records the VM conditions that the planner observed; skips unknown VMs. */
export function applyVmReported(
  state: FleetState,
  record: VmReported,
  offset: number,
): Rejection | undefined {
  const fenced = fenceOrRenewPlanner(state, record, offset);
  if (fenced) return fenced;
  const index = capacityIndexOf(state);
  const {conditions} = state;
  for (const {vm, condition} of record.reports) {
    if (!state.vms.has(vm)) continue;
    index.update(vm, () => {
      if (condition === VmCondition.Up) conditions.delete(vm);
      else conditions.set(vm, condition);
    });
  }
  return undefined;
}

/**
 * Rejects the records of a planner whose term is over: one that was paused writes with its old
 * term after it resumes, and its decisions are based on outdated state. Records of the current
 * planner renew its term. Records of operators have no term and always pass.
 */
export function fenceOrRenewPlanner(
  state: FleetState,
  record: {readonly term?: number; readonly writer: string},
  offset: number,
): Rejection | undefined {
  if (record.term === undefined) return undefined;
  const planner = plannerOf(state);
  if (record.term === planner.term && record.writer === planner.holder) {
    state.planner.set(PLANNER_KEY, {...planner, heardAt: offset});
    return undefined;
  }
  return {
    reason: RejectionReason.StaleTerm,
    detail: `${record.writer} planned in term ${record.term}, but ${planner.holder || 'nobody'} plans in term ${planner.term}`,
  };
}

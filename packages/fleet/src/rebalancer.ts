import {SubjectKind, type RejectedAlternative} from '@gentiandoor/kernel';
import {
  MoveCause,
  RecordKind,
  PlannedWorkKind,
  capacityIndexOf,
  checkPlannedStop,
  serviceBudgetStatusOf,
  type CostWeights,
  type FleetState,
  type PoolEntry,
} from '@gentiandoor/shared-state';
import type {
  PlannerInput,
  PlanningStage,
  ProposedRecord,
} from './planner-input.js';
import {REBALANCE_DEFAULTS} from './rebalance-options.js';

const EQUAL_WEIGHTS: CostWeights = {buffer: 1, move: 1};
/** Limits on how far weights lengthen or shorten a delay. */
const MINIMUM_DELAY_FACTOR = 0.25;
const MAXIMUM_DELAY_FACTOR = 12;
const MAXIMUM_REJECTED_ALTERNATIVES = 5;

/**
 * Lends VMs to pools whose budgets would not survive their named failure, and returns them later.
 * Load: failures that exceed the buffer. Without lending a pool stays exposed until its VMs are
 * repaired. A shortage must last before a VM is moved, longer if moves have a higher weight, since
 * most VMs that fail are back within minutes; and a pool lends only what its own budgets can spare,
 * so that a move never passes the shortage on.
 */
export class Rebalancer implements PlanningStage {
  private readonly shortageSince = new Map<string, number>();
  private readonly surplusSince = new Map<string, number>();

  constructor(private readonly options = REBALANCE_DEFAULTS) {}

  plan(input: PlannerInput): ProposedRecord[] {
    const {state} = input;
    const proposals: ProposedRecord[] = [];
    const incoming = countIncoming(state);
    const usedPools = new Set<string>();
    for (const pool of Object.keys(state.inForce?.bundle.pools ?? {})) {
      const missing = shortage(state, pool);
      const since = updateSince(
        this.shortageSince,
        pool,
        missing > 0,
        input.now,
      );
      if (since === undefined || missing <= (incoming.get(pool) ?? 0)) continue;
      if (input.now - since < this.lendDelayMilliseconds(state, pool)) continue;
      const loan = planLoan(state, pool, missing, usedPools);
      if (loan) proposals.push(loan);
    }
    return [...proposals, ...this.returnLentVms(input, usedPools)];
  }

  private lendDelayMilliseconds(state: FleetState, pool: string): number {
    const {brokenServices} = capacityIndexOf(state);
    const isBroken = capacityIndexOf(state)
      .services(pool)
      .some(name => brokenServices.has(name));
    const {brokenAfterMilliseconds, lendAfterMilliseconds} = this.options;
    if (isBroken) return brokenAfterMilliseconds * delayFactor(state);
    return lendAfterMilliseconds * delayFactor(state);
  }

  private returnLentVms(
    input: PlannerInput,
    usedPools: Set<string>,
  ): ProposedRecord[] {
    const {state, now} = input;
    const proposals: ProposedRecord[] = [];
    const returnDelayMilliseconds =
      this.options.giveBackAfterMilliseconds * delayFactor(state);
    for (const [id, deviation] of state.deviations) {
      const canBeReturned =
        deviation.cause === MoveCause.Lend && canReturn(state, id);
      const since = updateSince(this.surplusSince, id, canBeReturned, now);
      const vm = state.vms.get(id);
      if (since === undefined || now - since < returnDelayMilliseconds || !vm)
        continue;
      const listedPool = listedPoolOf(state, id);
      if (listedPool === undefined || usedPools.has(vm.pool)) continue;
      usedPools.add(vm.pool);
      proposals.push(
        planMove(
          state,
          id,
          listedPool,
          `pool ${vm.pool} can do without it again`,
          [],
        ),
      );
    }
    for (const id of this.surplusSince.keys())
      if (!state.deviations.has(id)) this.surplusSince.delete(id);
    return proposals;
  }
}

/** Returns how many VMs the worst budget of a pool lacks to survive its named failure. */
export function shortage(state: FleetState, pool: string): number {
  const index = capacityIndexOf(state);
  let missing = 0;
  for (const name of index.services(pool)) {
    const status = serviceBudgetStatusOf(index, name);
    if (!status) continue;
    // VMs that are out by plan return by themselves.
    const availableAfterReturn = status.availableAfterLoss + status.planned;
    missing = Math.max(missing, status.needed - availableAfterReturn);
  }
  return missing;
}

function delayFactor(state: FleetState): number {
  const {buffer, move} = state.inForce?.bundle.weights ?? EQUAL_WEIGHTS;
  const ratio = move / Math.max(buffer, Number.EPSILON);
  return Math.min(MAXIMUM_DELAY_FACTOR, Math.max(MINIMUM_DELAY_FACTOR, ratio));
}

function updateSince(
  sinceByKey: Map<string, number>,
  key: string,
  isActive: boolean,
  now: number,
): number | undefined {
  if (!isActive) {
    sinceByKey.delete(key);
    return undefined;
  }
  const since = sinceByKey.get(key) ?? now;
  sinceByKey.set(key, since);
  return since;
}

function countIncoming(state: FleetState): Map<string, number> {
  const counts = new Map<string, number>();
  for (const {kind, toPool} of state.work.values()) {
    if (kind !== PlannedWorkKind.Move || toPool === undefined) continue;
    counts.set(toPool, (counts.get(toPool) ?? 0) + 1);
  }
  return counts;
}

/**
 * Plans a loan from the pool that can spare the most VMs; prefers a VM in the data centre where the
 * receiving pool has the fewest.
 */
function planLoan(
  state: FleetState,
  pool: string,
  missing: number,
  usedPools: Set<string>,
): ProposedRecord | undefined {
  const turnedDown: RejectedAlternative[] = [];
  const pools = state.inForce?.bundle.pools ?? {};
  const donors = Object.keys(pools)
    .filter(name => name !== pool && !usedPools.has(name))
    .filter(name => hasEnoughResources(pools[name], pools[pool]))
    .map(name => ({name, spare: spareOf(state, name)}))
    .filter(donor => donor.spare > 0)
    .sort((left, right) => right.spare - left.spare);
  for (const {name} of donors) {
    const vm = findLendableVm(state, name, pool, turnedDown);
    if (vm === undefined) continue;
    usedPools.add(name);
    const reason = `pool ${pool} lacks ${missing} VMs to survive its named failure`;
    return planMove(state, vm, pool, reason, turnedDown);
  }
  return undefined;
}

function spareOf(state: FleetState, pool: string): number {
  const index = capacityIndexOf(state);
  const statuses = index
    .services(pool)
    .flatMap(name => serviceBudgetStatusOf(index, name) ?? []);
  if (statuses.length === 0) return index.pool(pool).available;
  return Math.min(...statuses.map(status => status.spare));
}

function findLendableVm(
  state: FleetState,
  donor: string,
  receiver: string,
  turnedDown: RejectedAlternative[],
): string | undefined {
  const index = capacityIndexOf(state);
  const {availableByDataCentre} = index.pool(receiver);
  const vms = [...index.pool(donor).vms]
    .filter(vm => index.isAvailable(vm) && !state.work.has(vm))
    .map(vm => ({
      vm,
      availableInDataCentre:
        availableByDataCentre.get(index.locationOf(vm).dataCentre) ?? 0,
    }))
    .sort(
      (left, right) => left.availableInDataCentre - right.availableInDataCentre,
    );
  for (const {vm} of vms) {
    const refusal = checkPlannedStop(state, vm, receiver);
    if (!refusal) return vm;
    if (turnedDown.length < MAXIMUM_REJECTED_ALTERNATIVES)
      turnedDown.push({choice: `lend ${vm}`, because: refusal.detail});
  }
  return undefined;
}

function hasEnoughResources(from: PoolEntry, to: PoolEntry): boolean {
  return (
    from.processors >= to.processors &&
    from.memoryGigabytes >= to.memoryGigabytes &&
    from.accelerators >= to.accelerators
  );
}

function listedPoolOf(state: FleetState, vm: string): string | undefined {
  const pools = state.inForce?.bundle.pools ?? {};
  return Object.keys(pools).find(name => pools[name].vms.includes(vm));
}

function canReturn(state: FleetState, vm: string): boolean {
  const pool = state.vms.get(vm)?.pool ?? '';
  if (state.work.has(vm) || !capacityIndexOf(state).isAvailable(vm))
    return false;
  return spareOf(state, pool) > 0 && !checkPlannedStop(state, vm);
}

function planMove(
  state: FleetState,
  id: string,
  toPool: string,
  reason: string,
  turnedDown: readonly RejectedAlternative[],
): ProposedRecord {
  const vm = state.vms.get(id);
  return {
    record: {
      kind: RecordKind.MoveStarted,
      vm: id,
      epoch: vm?.epoch ?? 0,
      toPool,
      cause: MoveCause.Lend,
      reason,
    },
    decision: {
      subject: SubjectKind.Vm,
      id,
      decision: `move VM ${id} from pool ${vm?.pool} to ${toPool}`,
      rule: 'rebalancer: a shortage that lasts, weighed against moves',
      cause: reason,
      evidence: {patienceFactor: delayFactor(state), epoch: vm?.epoch ?? 0},
      turnedDown,
    },
  };
}

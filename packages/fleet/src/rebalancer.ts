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
/** Bounds on how far weights stretch or shorten a wait. */
const MINIMUM_DELAY_FACTOR = 0.25;
const MAXIMUM_DELAY_FACTOR = 12;
const MAXIMUM_REJECTED_ALTERNATIVES = 5;

/**
 * Lends VMs to pools whose budgets would not survive their named failure, and gives them
 * back. Answers failures that take more than the buffer: without it a pool stays exposed
 * until its VMs are repaired. A shortage must last before a VM moves, longer where moves
 * weigh more, since most VMs that fail are back within minutes; and a pool lends only what
 * its own budgets can spare, so that a move never passes the shortage on.
 */
export class Rebalancer implements PlanningStage {
  private readonly shortageSince = new Map<string, number>();
  private readonly surplusSince = new Map<string, number>();

  constructor(private readonly options = REBALANCE_DEFAULTS) {}

  plan(input: PlannerInput): ProposedRecord[] {
    const {state} = input;
    const proposals: ProposedRecord[] = [];
    const incoming = countIncoming(state);
    const taken = new Set<string>();
    for (const pool of Object.keys(state.inForce?.bundle.pools ?? {})) {
      const lacks = shortage(state, pool);
      const since = updateSince(this.shortageSince, pool, lacks > 0, input.now);
      if (since === undefined || lacks <= (incoming.get(pool) ?? 0)) continue;
      if (input.now - since < this.lendDelayMilliseconds(state, pool)) continue;
      const lent = planLoan(state, pool, lacks, taken);
      if (lent) proposals.push(lent);
    }
    return [...proposals, ...this.returnLentVms(input, taken)];
  }

  private lendDelayMilliseconds(state: FleetState, pool: string): number {
    const {brokenServices: broken} = capacityIndexOf(state);
    const isBroken = capacityIndexOf(state)
      .services(pool)
      .some(name => broken.has(name));
    const {brokenAfterMilliseconds, lendAfterMilliseconds} = this.options;
    if (isBroken) return brokenAfterMilliseconds * delayFactor(state);
    return lendAfterMilliseconds * delayFactor(state);
  }

  private returnLentVms(
    input: PlannerInput,
    taken: Set<string>,
  ): ProposedRecord[] {
    const {state, now} = input;
    const proposals: ProposedRecord[] = [];
    const wait = this.options.giveBackAfterMilliseconds * delayFactor(state);
    for (const [id, deviation] of state.deviations) {
      const isRich = deviation.cause === MoveCause.Lend && canReturn(state, id);
      const since = updateSince(this.surplusSince, id, isRich, now);
      const vm = state.vms.get(id);
      if (since === undefined || now - since < wait || !vm) continue;
      const home = listedPoolOf(state, id);
      if (home === undefined || taken.has(vm.pool)) continue;
      taken.add(vm.pool);
      proposals.push(
        planMove(
          state,
          id,
          home,
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

/** VMs by which the worst budget of a pool falls short of surviving its named failure. */
export function shortage(state: FleetState, pool: string): number {
  const index = capacityIndexOf(state);
  let lacks = 0;
  for (const name of index.services(pool)) {
    const standing = serviceBudgetStatusOf(index, name);
    if (!standing) continue;
    // What is out by plan comes back by itself.
    const back = standing.availableAfterLoss + standing.planned;
    lacks = Math.max(lacks, standing.needed - back);
  }
  return lacks;
}

function delayFactor(state: FleetState): number {
  const {buffer, move} = state.inForce?.bundle.weights ?? EQUAL_WEIGHTS;
  const ratio = move / Math.max(buffer, Number.EPSILON);
  return Math.min(MAXIMUM_DELAY_FACTOR, Math.max(MINIMUM_DELAY_FACTOR, ratio));
}

function updateSince(
  sinces: Map<string, number>,
  key: string,
  isSo: boolean,
  now: number,
): number | undefined {
  if (!isSo) {
    sinces.delete(key);
    return undefined;
  }
  const since = sinces.get(key) ?? now;
  sinces.set(key, since);
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

/** The pool that lends is the one that can spare most; the VM stands where the taker is thinnest. */
function planLoan(
  state: FleetState,
  pool: string,
  lacks: number,
  taken: Set<string>,
): ProposedRecord | undefined {
  const turnedDown: RejectedAlternative[] = [];
  const pools = state.inForce?.bundle.pools ?? {};
  const donors = Object.keys(pools)
    .filter(name => name !== pool && !taken.has(name))
    .filter(name => hasEnoughResources(pools[name], pools[pool]))
    .map(name => ({name, spare: spareOf(state, name)}))
    .filter(donor => donor.spare > 0)
    .sort((left, right) => right.spare - left.spare);
  for (const {name} of donors) {
    const vm = findLendableVm(state, name, pool, turnedDown);
    if (vm === undefined) continue;
    taken.add(name);
    const reason = `pool ${pool} lacks ${lacks} VMs to survive its named failure`;
    return planMove(state, vm, pool, reason, turnedDown);
  }
  return undefined;
}

function spareOf(state: FleetState, pool: string): number {
  const index = capacityIndexOf(state);
  const standings = index
    .services(pool)
    .flatMap(name => serviceBudgetStatusOf(index, name) ?? []);
  if (standings.length === 0) return index.pool(pool).available;
  return Math.min(...standings.map(standing => standing.spare));
}

function findLendableVm(
  state: FleetState,
  donor: string,
  taker: string,
  turnedDown: RejectedAlternative[],
): string | undefined {
  const index = capacityIndexOf(state);
  const {availableByDataCentre} = index.pool(taker);
  const vms = [...index.pool(donor).vms]
    .filter(vm => index.isAvailable(vm) && !state.work.has(vm))
    .map(vm => ({
      vm,
      crowd: availableByDataCentre.get(index.locationOf(vm).dataCentre) ?? 0,
    }))
    .sort((left, right) => left.crowd - right.crowd);
  for (const {vm} of vms) {
    const refusal = checkPlannedStop(state, vm, taker);
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

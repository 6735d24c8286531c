import {SubjectKind, type TurnedDown} from '@gentiandoor/kernel';
import {
  MoveCause,
  RecordKind,
  WorkKind,
  capacityOf,
  checkPlannedStop,
  standingOf,
  type CostWeights,
  type FleetState,
  type PoolEntry,
} from '@gentiandoor/shared-state';
import type {PlannerInput, PlannerPart, Proposal} from './planner-input.js';
import {REBALANCE_DEFAULTS} from './rebalance-options.js';

const EQUAL_WEIGHTS: CostWeights = {buffer: 1, move: 1};
/** Bounds on how far weights stretch or shorten a wait. */
const LEAST_STRETCH = 0.25;
const MOST_STRETCH = 12;
const MOST_TURNED_DOWN = 5;

/**
 * Lends VMs to pools whose budgets would not survive their named failure, and gives them
 * back. Answers failures that take more than the buffer: without it a pool stays exposed
 * until its VMs are repaired. A shortage must last before a VM moves, longer where moves
 * weigh more, since most VMs that fail are back within minutes; and a pool lends only what
 * its own budgets can spare, so that a move never passes the shortage on.
 */
export class Rebalancer implements PlannerPart {
  private readonly shortSince = new Map<string, number>();
  private readonly richSince = new Map<string, number>();

  constructor(private readonly options = REBALANCE_DEFAULTS) {}

  plan(input: PlannerInput): Proposal[] {
    const {state} = input;
    const proposals: Proposal[] = [];
    const incoming = countIncoming(state);
    const taken = new Set<string>();
    for (const pool of Object.keys(state.inForce?.bundle.pools ?? {})) {
      const lacks = shortage(state, pool);
      const since = follow(this.shortSince, pool, lacks > 0, input.now);
      if (since === undefined || lacks <= (incoming.get(pool) ?? 0)) continue;
      if (input.now - since < this.patience(state, pool)) continue;
      const lent = lend(state, pool, lacks, taken);
      if (lent) proposals.push(lent);
    }
    return [...proposals, ...this.giveBack(input, taken)];
  }

  private patience(state: FleetState, pool: string): number {
    const {broken} = capacityOf(state);
    const isBroken = capacityOf(state)
      .services(pool)
      .some(name => broken.has(name));
    const {brokenAfterMilliseconds, lendAfterMilliseconds} = this.options;
    if (isBroken) return brokenAfterMilliseconds * stretch(state);
    return lendAfterMilliseconds * stretch(state);
  }

  private giveBack(input: PlannerInput, taken: Set<string>): Proposal[] {
    const {state, now} = input;
    const proposals: Proposal[] = [];
    const wait = this.options.giveBackAfterMilliseconds * stretch(state);
    for (const [id, deviation] of state.deviations) {
      const isRich = deviation.cause === MoveCause.Lend && canReturn(state, id);
      const since = follow(this.richSince, id, isRich, now);
      const vm = state.vms.get(id);
      if (since === undefined || now - since < wait || !vm) continue;
      const home = homeOf(state, id);
      if (home === undefined || taken.has(vm.pool)) continue;
      taken.add(vm.pool);
      proposals.push(
        move(state, id, home, `pool ${vm.pool} can do without it again`, []),
      );
    }
    for (const id of this.richSince.keys())
      if (!state.deviations.has(id)) this.richSince.delete(id);
    return proposals;
  }
}

/** VMs by which the worst budget of a pool falls short of surviving its named failure. */
export function shortage(state: FleetState, pool: string): number {
  const index = capacityOf(state);
  let lacks = 0;
  for (const name of index.services(pool)) {
    const standing = standingOf(index, name);
    if (!standing) continue;
    // What is out by plan comes back by itself.
    const back = standing.availableAfterLoss + standing.planned;
    lacks = Math.max(lacks, standing.needed - back);
  }
  return lacks;
}

function stretch(state: FleetState): number {
  const {buffer, move} = state.inForce?.bundle.weights ?? EQUAL_WEIGHTS;
  const ratio = move / Math.max(buffer, Number.EPSILON);
  return Math.min(MOST_STRETCH, Math.max(LEAST_STRETCH, ratio));
}

function follow(
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
    if (kind !== WorkKind.Move || toPool === undefined) continue;
    counts.set(toPool, (counts.get(toPool) ?? 0) + 1);
  }
  return counts;
}

/** The pool that lends is the one that can spare most; the VM stands where the taker is thinnest. */
function lend(
  state: FleetState,
  pool: string,
  lacks: number,
  taken: Set<string>,
): Proposal | undefined {
  const turnedDown: TurnedDown[] = [];
  const pools = state.inForce?.bundle.pools ?? {};
  const donors = Object.keys(pools)
    .filter(name => name !== pool && !taken.has(name))
    .filter(name => fitsShape(pools[name], pools[pool]))
    .map(name => ({name, spare: spareOf(state, name)}))
    .filter(donor => donor.spare > 0)
    .sort((left, right) => right.spare - left.spare);
  for (const {name} of donors) {
    const vm = candidate(state, name, pool, turnedDown);
    if (vm === undefined) continue;
    taken.add(name);
    const reason = `pool ${pool} lacks ${lacks} VMs to survive its named failure`;
    return move(state, vm, pool, reason, turnedDown);
  }
  return undefined;
}

function spareOf(state: FleetState, pool: string): number {
  const index = capacityOf(state);
  const standings = index
    .services(pool)
    .flatMap(name => standingOf(index, name) ?? []);
  if (standings.length === 0) return index.pool(pool).available;
  return Math.min(...standings.map(standing => standing.spare));
}

function candidate(
  state: FleetState,
  donor: string,
  taker: string,
  turnedDown: TurnedDown[],
): string | undefined {
  const index = capacityOf(state);
  const {availableByDataCentre} = index.pool(taker);
  const vms = [...index.pool(donor).vms]
    .filter(vm => index.isAvailable(vm) && !state.work.has(vm))
    .map(vm => ({
      vm,
      crowd: availableByDataCentre.get(index.place(vm).dataCentre) ?? 0,
    }))
    .sort((left, right) => left.crowd - right.crowd);
  for (const {vm} of vms) {
    const refusal = checkPlannedStop(state, vm, taker);
    if (!refusal) return vm;
    if (turnedDown.length < MOST_TURNED_DOWN)
      turnedDown.push({choice: `lend ${vm}`, because: refusal.detail});
  }
  return undefined;
}

function fitsShape(from: PoolEntry, to: PoolEntry): boolean {
  return (
    from.processors >= to.processors &&
    from.memoryGigabytes >= to.memoryGigabytes &&
    from.accelerators >= to.accelerators
  );
}

function homeOf(state: FleetState, vm: string): string | undefined {
  const pools = state.inForce?.bundle.pools ?? {};
  return Object.keys(pools).find(name => pools[name].vms.includes(vm));
}

function canReturn(state: FleetState, vm: string): boolean {
  const pool = state.vms.get(vm)?.pool ?? '';
  if (state.work.has(vm) || !capacityOf(state).isAvailable(vm)) return false;
  return spareOf(state, pool) > 0 && !checkPlannedStop(state, vm);
}

function move(
  state: FleetState,
  id: string,
  toPool: string,
  reason: string,
  turnedDown: readonly TurnedDown[],
): Proposal {
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
      evidence: {patienceFactor: stretch(state), epoch: vm?.epoch ?? 0},
      turnedDown,
    },
  };
}

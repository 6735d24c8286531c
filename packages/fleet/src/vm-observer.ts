import {SubjectKind} from '@gentiandoor/kernel';
import {
  ListedState,
  MOST_BATCHED,
  RecordKind,
  VmCondition,
  WorkStep,
  type VmReport,
} from '@gentiandoor/shared-state';
import type {PlannerInput, PlannerPart, Proposal} from './planner-input.js';

/** Bounds of the observer, in milliseconds. */
export interface VmObserverOptions {
  /** A VM missing for this long is down and not only suspected. */
  readonly downAfterMilliseconds: number;
  /** Good news must last this long before it counts. */
  readonly upAfterMilliseconds: number;
  /** A list older than this says nothing. */
  readonly listAgeMilliseconds: number;
}

/** A list read once a second that loses a VM for a few reads is common; half a minute is not. */
export const VM_OBSERVER_DEFAULTS: VmObserverOptions = {
  downAfterMilliseconds: 30_000,
  upAfterMilliseconds: 30_000,
  listAgeMilliseconds: 30_000,
};

interface Sighting {
  readonly condition: VmCondition;
  readonly since: number;
}

/**
 * Turns the lagging list and first-hand evidence into reported conditions. Answers a list
 * that flaps: bad news counts at once, because a budget that believes in a dead VM is
 * overspent; good news counts after it has lasted, because otherwise each flap is two
 * records and a drain admitted in between. So a VM costs at most two records per
 * `upAfterMilliseconds`, however often it flaps.
 */
export class VmObserver implements PlannerPart {
  private readonly sightings = new Map<string, Sighting>();

  constructor(private readonly options = VM_OBSERVER_DEFAULTS) {}

  plan(input: PlannerInput): Proposal[] {
    const reports: VmReport[] = [];
    const isFresh =
      input.listAgeMilliseconds <= this.options.listAgeMilliseconds;
    for (const vm of input.state.vms.keys()) {
      const condition = this.judge(input, vm, isFresh);
      const known = input.state.conditions.get(vm) ?? VmCondition.Up;
      if (condition !== known) reports.push({vm, condition});
    }
    return proposals(reports);
  }

  private judge(
    input: PlannerInput,
    vm: string,
    isFresh: boolean,
  ): VmCondition {
    const known = input.state.conditions.get(vm) ?? VmCondition.Up;
    // A VM that was asked to reboot is expected to be away; it counts as planned.
    const work = input.state.work.get(vm);
    const isExpected = work?.step === WorkStep.Asked;
    const seen = this.look(input, vm, known, isFresh);
    if (seen === VmCondition.Up && known === VmCondition.Up) {
      this.sightings.delete(vm);
      return known;
    }
    if (isExpected && seen !== VmCondition.Up) return known;
    const since = this.since(vm, seen, input.now);
    return this.settle(known, seen, input.now - since);
  }

  private look(
    input: PlannerInput,
    vm: string,
    known: VmCondition,
    isFresh: boolean,
  ): VmCondition {
    const isSuspected = input.suspected.has(vm);
    if (!isFresh) return isSuspected ? VmCondition.Suspected : known;
    const listed = input.list.get(vm);
    if (!listed) return VmCondition.Down;
    if (listed.state === ListedState.Leaving) return VmCondition.Leaving;
    return isSuspected ? VmCondition.Suspected : VmCondition.Up;
  }

  private since(vm: string, seen: VmCondition, now: number): number {
    const before = this.sightings.get(vm);
    if (before?.condition === seen) return before.since;
    this.sightings.set(vm, {condition: seen, since: now});
    return now;
  }

  private settle(
    known: VmCondition,
    seen: VmCondition,
    lasted: number,
  ): VmCondition {
    const {upAfterMilliseconds, downAfterMilliseconds} = this.options;
    if (seen === VmCondition.Up)
      return lasted >= upAfterMilliseconds ? seen : known;
    if (seen !== VmCondition.Down) return seen;
    if (lasted >= downAfterMilliseconds || known === VmCondition.Down)
      return seen;
    return VmCondition.Suspected;
  }
}

function proposals(reports: readonly VmReport[]): Proposal[] {
  const batches: Proposal[] = [];
  for (let from = 0; from < reports.length; from += MOST_BATCHED) {
    const batch = reports.slice(from, from + MOST_BATCHED);
    batches.push({
      record: {kind: RecordKind.VmReported, reports: batch},
      decision: {
        subject: SubjectKind.Vm,
        id: batch[0].vm,
        decision: `report ${batch.length} VMs, the first as ${batch[0].condition}`,
        rule: 'vm-observer: bad news at once, good news after it has lasted',
        cause: 'the list or first-hand evidence changed',
        evidence: {vms: batch.length, condition: batch[0].condition},
      },
    });
  }
  return batches;
}

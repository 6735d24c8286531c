import {SubjectKind} from '@gentiandoor/kernel';
import {
  ListedState,
  MAXIMUM_BATCH_ENTRIES,
  RecordKind,
  VmCondition,
  PlannedWorkStep,
  type VmReport,
} from '@gentiandoor/shared-state';
import type {
  PlannerInput,
  PlanningStage,
  ProposedRecord,
} from './planner-input.js';

/** Bounds of the observer, in milliseconds. */
export interface VmObserverOptions {
  /** A VM missing for this long is down and not only suspected. */
  readonly downAfterMilliseconds: number;
  /** Good news must last this long before it counts. */
  readonly upAfterMilliseconds: number;
  /** A list older than this says nothing. */
  readonly maximumListAgeMilliseconds: number;
}

/** A list read once a second that loses a VM for a few reads is common; half a minute is not. */
export const VM_OBSERVER_DEFAULTS: VmObserverOptions = {
  downAfterMilliseconds: 30_000,
  upAfterMilliseconds: 30_000,
  maximumListAgeMilliseconds: 30_000,
};

interface Observation {
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
export class VmObserver implements PlanningStage {
  private readonly observations = new Map<string, Observation>();

  constructor(private readonly options = VM_OBSERVER_DEFAULTS) {}

  plan(input: PlannerInput): ProposedRecord[] {
    const reports: VmReport[] = [];
    const isFresh =
      input.vmListAgeMilliseconds <= this.options.maximumListAgeMilliseconds;
    for (const vm of input.state.vms.keys()) {
      const condition = this.conditionOf(input, vm, isFresh);
      const known = input.state.conditions.get(vm) ?? VmCondition.Up;
      if (condition !== known) reports.push({vm, condition});
    }
    return proposals(reports);
  }

  private conditionOf(
    input: PlannerInput,
    vm: string,
    isFresh: boolean,
  ): VmCondition {
    const known = input.state.conditions.get(vm) ?? VmCondition.Up;
    // A VM that was asked to reboot is expected to be away; it counts as planned.
    const work = input.state.work.get(vm);
    const isExpected = work?.step === PlannedWorkStep.Asked;
    const seen = this.observedCondition(input, vm, known, isFresh);
    if (seen === VmCondition.Up && known === VmCondition.Up) {
      this.observations.delete(vm);
      return known;
    }
    if (isExpected && seen !== VmCondition.Up) return known;
    const since = this.since(vm, seen, input.now);
    return this.debounce(known, seen, input.now - since);
  }

  private observedCondition(
    input: PlannerInput,
    vm: string,
    known: VmCondition,
    isFresh: boolean,
  ): VmCondition {
    const isSuspected = input.suspectedVms.has(vm);
    if (!isFresh) return isSuspected ? VmCondition.Suspected : known;
    const listed = input.vmList.get(vm);
    if (!listed) return VmCondition.Down;
    if (listed.state === ListedState.Leaving) return VmCondition.Leaving;
    return isSuspected ? VmCondition.Suspected : VmCondition.Up;
  }

  private since(vm: string, seen: VmCondition, now: number): number {
    const before = this.observations.get(vm);
    if (before?.condition === seen) return before.since;
    this.observations.set(vm, {condition: seen, since: now});
    return now;
  }

  private debounce(
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

function proposals(reports: readonly VmReport[]): ProposedRecord[] {
  const batches: ProposedRecord[] = [];
  for (let from = 0; from < reports.length; from += MAXIMUM_BATCH_ENTRIES) {
    const batch = reports.slice(from, from + MAXIMUM_BATCH_ENTRIES);
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

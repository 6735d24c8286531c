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

/** Limits of the observer, in milliseconds. */
export interface VmObserverOptions {
  /** A VM missing for this long is down and not only suspected. */
  readonly downAfterMilliseconds: number;
  /** How long a VM must be up before it is reported as up. */
  readonly upAfterMilliseconds: number;
  /** A list older than this is ignored. */
  readonly maximumListAgeMilliseconds: number;
}

/** A list read once a second often omits a VM for a few readings, but not for half a minute. */
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
 * Derives reported conditions from the lagging list and first-hand evidence.
 * Load: a list that flaps. Bad news takes effect at once, because a budget that counts a dead VM is
 * overspent; good news takes effect only after it has lasted, because otherwise each flap would
 * cause two records and a drain admitted in between. So a VM costs at most two records per
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
      const reported = input.state.conditions.get(vm) ?? VmCondition.Up;
      if (condition !== reported) reports.push({vm, condition});
    }
    return proposals(reports);
  }

  private conditionOf(
    input: PlannerInput,
    vm: string,
    isFresh: boolean,
  ): VmCondition {
    const reported = input.state.conditions.get(vm) ?? VmCondition.Up;
    // A VM for which a reboot was requested is expected to be away; it counts as planned.
    const work = input.state.work.get(vm);
    const isExpected = work?.step === PlannedWorkStep.Asked;
    const observed = this.observedCondition(input, vm, reported, isFresh);
    if (observed === VmCondition.Up && reported === VmCondition.Up) {
      this.observations.delete(vm);
      return reported;
    }
    if (isExpected && observed !== VmCondition.Up) return reported;
    const since = this.since(vm, observed, input.now);
    return this.debounce(reported, observed, input.now - since);
  }

  private observedCondition(
    input: PlannerInput,
    vm: string,
    reported: VmCondition,
    isFresh: boolean,
  ): VmCondition {
    const isSuspected = input.suspectedVms.has(vm);
    if (!isFresh) return isSuspected ? VmCondition.Suspected : reported;
    const listed = input.vmList.get(vm);
    if (!listed) return VmCondition.Down;
    if (listed.state === ListedState.Leaving) return VmCondition.Leaving;
    return isSuspected ? VmCondition.Suspected : VmCondition.Up;
  }

  private since(vm: string, observed: VmCondition, now: number): number {
    const previous = this.observations.get(vm);
    if (previous?.condition === observed) return previous.since;
    this.observations.set(vm, {condition: observed, since: now});
    return now;
  }

  private debounce(
    reported: VmCondition,
    observed: VmCondition,
    lastedMilliseconds: number,
  ): VmCondition {
    const {upAfterMilliseconds, downAfterMilliseconds} = this.options;
    if (observed === VmCondition.Up)
      return lastedMilliseconds >= upAfterMilliseconds ? observed : reported;
    if (observed !== VmCondition.Down) return observed;
    if (
      lastedMilliseconds >= downAfterMilliseconds ||
      reported === VmCondition.Down
    )
      return observed;
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

import {SubjectKind, type Decision} from '@gentiandoor/kernel';
import {
  ListedState,
  MaintenanceOutcome,
  RecordKind,
  VmAction,
  VmActionState,
  VmCondition,
  WaveState,
  PlannedWorkKind,
  PlannedWorkStep,
  isDrained,
  type PlannedWork,
} from '@gentiandoor/shared-state';
import {actionId} from './action-id.js';
import {
  type DraftRecord,
  type PlannerInput,
  type PlanningStage,
  type ProposedRecord,
} from './planner-input.js';

/** Limits of maintenance, in milliseconds. */
export interface MaintenanceOptions {
  /** How long to wait for a VM to return after the first attempt; doubles with each attempt. */
  readonly returnMilliseconds: number;
  /** How long a VM that has returned is observed. */
  readonly trialMilliseconds: number;
  /**
   * Number of attempts by reboot; the next attempt replaces the VM, and the one after hands it over
   * to operators.
   */
  readonly rebootAttempts: number;
}

/** A VM boots within a few minutes; a fault that occurs with traffic shows within one. */
export const MAINTENANCE_DEFAULTS: MaintenanceOptions = {
  returnMilliseconds: 600_000,
  trialMilliseconds: 60_000,
  rebootAttempts: 2,
};

const RULE =
  'maintenance: return, reboot, replace with growing waits, then operators';

interface StepStart {
  readonly startedAt: number;
  readonly step: PlannedWorkStep;
  readonly attempts: number;
  readonly since: number;
}

/**
 * Advances each VM under maintenance or repair through its steps.
 * Load: a VM that does not return. With unlimited attempts it would occupy its pool's budget
 * forever or be rebooted forever; with limited ones it takes three attempts over about an hour and
 * is then handed over to an operator. Waits are measured on this daemon's monotonic clock; a new
 * planner restarts the current wait.
 */
export class MaintenanceWorkflow implements PlanningStage {
  private readonly stepStarts = new Map<string, StepStart>();

  constructor(private readonly options = MAINTENANCE_DEFAULTS) {}

  plan(input: PlannerInput): ProposedRecord[] {
    const proposals: ProposedRecord[] = [];
    for (const work of input.state.work.values()) {
      const isMaintained =
        work.kind === PlannedWorkKind.Maintenance ||
        work.kind === PlannedWorkKind.Repair;
      if (!isMaintained) continue;
      const proposal = this.planWork(input, work);
      if (proposal) proposals.push(proposal);
    }
    for (const vm of this.stepStarts.keys()) {
      if (!input.state.work.has(vm)) this.stepStarts.delete(vm);
    }
    return proposals;
  }

  private planWork(
    input: PlannerInput,
    work: PlannedWork,
  ): ProposedRecord | undefined {
    const waited = this.waitedMilliseconds(input, work);
    switch (work.step) {
      case PlannedWorkStep.Draining:
        return this.planDraining(input, work);
      case PlannedWorkStep.Asked:
        return this.planAsked(input, work, waited);
      case PlannedWorkStep.Trial:
        return this.planTrial(input, work, waited);
    }
  }

  private planDraining(
    input: PlannerInput,
    work: PlannedWork,
  ): ProposedRecord | undefined {
    const wave = input.state.waves.get(work.wave ?? '');
    const isStopped = wave !== undefined && wave.state !== WaveState.Running;
    if (isStopped)
      return end(input, work, MaintenanceOutcome.Abandoned, wave.stateReason);
    if (!isDrained(input.state, work)) return undefined;
    return this.requestAction(input, work, 'no daemon or job uses it any more');
  }

  private planAsked(
    input: PlannerInput,
    work: PlannedWork,
    waited: number,
  ): ProposedRecord | undefined {
    const action = input.vmActions.get(actionId(work));
    const listed = input.vmList.get(work.vm)?.state === ListedState.Live;
    const isBack =
      action === VmActionState.Done &&
      listed &&
      !input.suspectedVms.has(work.vm);
    if (isBack) return returned(work);
    const limit = this.options.returnMilliseconds * 2 ** (work.attempts - 1);
    if (action !== VmActionState.Failed && waited < limit) return undefined;
    return this.requestAction(
      input,
      work,
      `it did not return within ${limit} ms`,
    );
  }

  private planTrial(
    input: PlannerInput,
    work: PlannedWork,
    waited: number,
  ): ProposedRecord | undefined {
    const condition = input.state.conditions.get(work.vm);
    // Absence from one or two readings of the list is not a failure; a VM is down after 30 s of
    // absence.
    const hasFailed =
      input.suspectedVms.has(work.vm) || condition === VmCondition.Down;
    if (hasFailed)
      return end(
        input,
        work,
        MaintenanceOutcome.Failed,
        'it failed again with traffic',
      );
    const isHealthy = condition === undefined && input.vmList.has(work.vm);
    if (!isHealthy || waited < this.options.trialMilliseconds) return undefined;
    return end(input, work, MaintenanceOutcome.Done, 'it stayed healthy');
  }

  private requestAction(
    input: PlannerInput,
    work: PlannedWork,
    cause: string,
  ): ProposedRecord {
    const attempt = work.attempts + 1;
    const {rebootAttempts} = this.options;
    if (attempt > rebootAttempts + 1)
      return end(input, work, MaintenanceOutcome.HandedOver, cause);
    const action =
      attempt <= rebootAttempts ? VmAction.Reboot : VmAction.Replace;
    const {vm, startedAt} = work;
    return propose(
      work,
      {kind: RecordKind.MaintenanceAsked, vm, startedAt, attempt, action},
      `${action} VM ${vm}, attempt ${attempt}`,
      cause,
    );
  }

  /** Returns the milliseconds for which this planner has seen the work at its current step. */
  private waitedMilliseconds(input: PlannerInput, work: PlannedWork): number {
    const {vm, startedAt, step, attempts} = work;
    const stepStart = this.stepStarts.get(vm);
    const isSame =
      stepStart?.startedAt === startedAt &&
      stepStart.step === step &&
      stepStart.attempts === attempts;
    if (stepStart && isSame) return input.now - stepStart.since;
    this.stepStarts.set(vm, {startedAt, step, attempts, since: input.now});
    return 0;
  }
}

function returned(work: PlannedWork): ProposedRecord {
  const {vm, startedAt} = work;
  return propose(
    work,
    {kind: RecordKind.MaintenanceReturned, vm, startedAt},
    `put VM ${vm} back into service, on trial`,
    'the platform has completed the action and the list shows the VM as live',
  );
}

function end(
  input: PlannerInput,
  work: PlannedWork,
  outcome: MaintenanceOutcome,
  cause: string,
): ProposedRecord {
  const {vm, startedAt} = work;
  const at = Math.max(0, Math.floor(input.wallNow));
  return propose(
    work,
    {kind: RecordKind.MaintenanceEnded, vm, startedAt, outcome, at},
    `end the ${work.kind} of VM ${vm}: ${outcome}`,
    cause,
  );
}

function propose(
  work: PlannedWork,
  record: DraftRecord,
  decision: string,
  cause: string,
): ProposedRecord {
  const explanation: Decision = {
    subject: SubjectKind.Vm,
    id: work.vm,
    decision,
    rule: RULE,
    cause,
    evidence: {
      step: work.step,
      attempts: work.attempts,
      wave: work.wave ?? 'none',
    },
  };
  return {record, decision: explanation};
}

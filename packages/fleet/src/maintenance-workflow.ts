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

/** Bounds of a maintenance, in milliseconds. */
export interface MaintenanceOptions {
  /** Wait for a VM to return after the first attempt; doubles with each. */
  readonly returnMilliseconds: number;
  /** A VM that is back is watched for this long. */
  readonly trialMilliseconds: number;
  /** Attempts by reboot; the next one replaces the VM, the one after hands it over. */
  readonly rebootAttempts: number;
}

/** A VM boots within a few minutes; a fault that comes with traffic shows within one. */
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
 * Brings each VM under maintenance or repair through its steps. Answers a VM that does not
 * return: without bounded attempts it would hold its pool's place for ever or be rebooted
 * for ever; with them it costs three attempts over about an hour and then a person looks.
 * Waits run on this daemon's monotonic clock; a new planner begins the present wait anew.
 */
export class MaintenanceWorkflow implements PlanningStage {
  private readonly stepStarts = new Map<string, StepStart>();

  constructor(private readonly options = MAINTENANCE_DEFAULTS) {}

  plan(input: PlannerInput): ProposedRecord[] {
    const proposals: ProposedRecord[] = [];
    for (const work of input.state.work.values()) {
      const isOurs =
        work.kind === PlannedWorkKind.Maintenance ||
        work.kind === PlannedWorkKind.Repair;
      if (!isOurs) continue;
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
    const isOff = wave !== undefined && wave.state !== WaveState.Running;
    if (isOff)
      return end(input, work, MaintenanceOutcome.Abandoned, wave.stateReason);
    if (!isDrained(input.state, work)) return undefined;
    return this.ask(input, work, 'no daemon or job has anything on it');
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
    return this.ask(input, work, `it did not return in ${limit} ms`);
  }

  private planTrial(
    input: PlannerInput,
    work: PlannedWork,
    waited: number,
  ): ProposedRecord | undefined {
    const condition = input.state.conditions.get(work.vm);
    // Only missing from a read or two of the list is no failure; down is after 30 s of it.
    const isBad =
      input.suspectedVms.has(work.vm) || condition === VmCondition.Down;
    if (isBad)
      return end(
        input,
        work,
        MaintenanceOutcome.Failed,
        'it failed again with traffic',
      );
    const isSettled = condition === undefined && input.vmList.has(work.vm);
    if (!isSettled || waited < this.options.trialMilliseconds) return undefined;
    return end(input, work, MaintenanceOutcome.Done, 'it stayed healthy');
  }

  private ask(
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

  /** Milliseconds for which this planner has seen the work at its present step. */
  private waitedMilliseconds(input: PlannerInput, work: PlannedWork): number {
    const {vm, startedAt, step, attempts} = work;
    const watch = this.stepStarts.get(vm);
    const isSame =
      watch?.startedAt === startedAt &&
      watch.step === step &&
      watch.attempts === attempts;
    if (watch && isSame) return input.now - watch.since;
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
    'the platform has done it and the list shows the VM live',
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
  const reasons: Decision = {
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
  return {record, decision: reasons};
}

import {
  FleetPlanner,
  type PlannerInput,
  type PlanningStage,
  type ProposedRecord,
} from '@gentiandoor/fleet';
import {
  JobOutcome,
  ListedState,
  RecordKind,
  VmActionState,
  PlannedWorkStep,
  serviceBudgetStatuses,
  capacityIndexOf,
  jobIndexOf,
  plannerOf,
  type FleetRecord,
  type FleetState,
  type JobReport,
  type ListedVm,
} from '@gentiandoor/shared-state';
import {
  exampleState,
  exampleVms,
  foldRecord,
  type ExampleDeployment,
} from '@gentiandoor/stand-ins';
import {actionId} from '@gentiandoor/fleet';

const PLANNER = 'incarnation-1';
const DRAIN_MILLISECONDS = 20_000;
const BOOT_MILLISECONDS = 120_000;
const MILLISECONDS_A_MINUTE = 60_000;

/** Counters of a simulated run. */
export interface DriverTotals {
  records: number;
  rejected: number;
  vmMoves: number;
  jobsShifted: number;
  jobsFinished: number;
  reboots: number;
  /** Budgets that a planned stop broke or worsened; must stay 0. */
  violations: number;
  /**
   * Minutes, summed over services, during which a service could not survive its configured failure.
   */
  exposedMinutes: number;
  /** Minutes, summed over services, below the required number of available VMs. */
  brokenMinutes: number;
  planningMilliseconds: number;
  rounds: number;
}

/** Simulates the platform around the production fold and planner, one step at a time. */
export class FleetSimulator {
  readonly state: FleetState;
  readonly totals: DriverTotals = {
    records: 0,
    rejected: 0,
    vmMoves: 0,
    jobsShifted: 0,
    jobsFinished: 0,
    reboots: 0,
    violations: 0,
    exposedMinutes: 0,
    brokenMinutes: 0,
    planningMilliseconds: 0,
    rounds: 0,
  };
  readonly planner = new FleetPlanner();
  now = 0;
  private readonly list = new Map<string, ListedVm>();
  private readonly homes = new Map<string, ListedVm>();
  private readonly returnsAt = new Map<string, number>();
  private readonly actions = new Map<string, VmActionState>();
  private readonly actionEnds = new Map<string, number>();
  private readonly drainEnds = new Map<number, number>();
  private readonly jobEnds = new Map<string, number>();
  private written = 0;

  constructor(
    deployment: ExampleDeployment,
    private readonly stages?: readonly PlanningStage[],
  ) {
    this.state = exampleState(deployment);
    for (const {id, dataCentre, rack} of exampleVms(deployment)) {
      const state = ListedState.Live;
      const vm = {id, address: '127.0.0.1:1', dataCentre, rack, state};
      this.homes.set(id, vm);
      this.list.set(id, vm);
    }
    this.write({
      kind: RecordKind.PlannerTaken,
      expectedTerm: 0,
      holder: PLANNER,
    });
  }

  /** Removes a VM from the list for a while. */
  fail(vm: string, milliseconds: number): void {
    this.list.delete(vm);
    const until = this.now + milliseconds;
    this.returnsAt.set(vm, Math.max(until, this.returnsAt.get(vm) ?? 0));
  }

  /** Number of VMs in the platform's list. */
  get listed(): number {
    return this.list.size;
  }

  /** Folds a record of the planner or an operator; returns whether it was accepted. */
  write(draft: object): boolean {
    const id = `driver-${this.written++}`;
    const record = {...draft, id, writer: PLANNER} as unknown as FleetRecord;
    const {rejection} = foldRecord(this.state, record);
    this.totals.records++;
    if (rejection) this.totals.rejected++;
    return rejection === undefined;
  }

  /** Advances the platform, daemons and jobs by a time and runs one planning round. */
  step(milliseconds: number): void {
    this.now += milliseconds;
    this.platform();
    this.acknowledge();
    this.runJobs();
    const started = performance.now();
    for (const stage of this.stages ?? this.planner.stages)
      for (const proposal of stage.plan(this.input())) this.execute(proposal);
    this.totals.planningMilliseconds += performance.now() - started;
    this.totals.rounds++;
    this.countBudgetMinutes(milliseconds);
  }

  input(): PlannerInput {
    return {
      state: this.state,
      now: this.now,
      wallNow: this.now,
      vmList: this.list,
      vmListAgeMilliseconds: 0,
      suspectedVms: new Set(),
      vmActions: this.actions,
    };
  }

  private execute(proposal: ProposedRecord): void {
    const {record} = proposal;
    const isStop =
      record.kind === RecordKind.MoveStarted ||
      record.kind === RecordKind.MaintenanceStarted;
    const before = isStop ? this.margins() : undefined;
    const {term} = plannerOf(this.state);
    if (!this.write({...record, term})) return;
    if (before) this.checkMargins(before);
    if (record.kind === RecordKind.MoveAssigned) this.totals.vmMoves++;
  }

  private margins(): Map<string, number> {
    return new Map(
      serviceBudgetStatuses(this.state).map(entry => [
        entry.service,
        entry.availableAfterLoss - entry.needed,
      ]),
    );
  }

  private checkMargins(before: ReadonlyMap<string, number>): void {
    for (const [service, margin] of this.margins()) {
      const allowed = Math.min(0, before.get(service) ?? 0);
      if (margin < allowed) this.totals.violations++;
    }
  }

  private platform(): void {
    for (const [vm, at] of this.returnsAt) {
      if (at > this.now) continue;
      this.returnsAt.delete(vm);
      const home = this.homes.get(vm);
      if (home) this.list.set(vm, home);
    }
    for (const work of this.state.work.values()) {
      if (work.step !== PlannedWorkStep.Asked) continue;
      const id = actionId(work);
      const ends = this.actionEnds.get(id);
      if (ends === undefined) this.beginAction(id, work.vm);
      else if (ends <= this.now) this.endAction(id, work.vm);
    }
  }

  private beginAction(id: string, vm: string): void {
    this.totals.reboots++;
    this.actionEnds.set(id, this.now + BOOT_MILLISECONDS);
    this.actions.set(id, VmActionState.Running);
    this.list.delete(vm);
  }

  private endAction(id: string, vm: string): void {
    if (this.actions.get(id) === VmActionState.Done) return;
    this.actions.set(id, VmActionState.Done);
    const home = this.homes.get(vm);
    if (home && !this.returnsAt.has(vm)) this.list.set(vm, home);
  }

  /** Acknowledges drains once the daemons' exchanges had time to end. */
  private acknowledge(): void {
    for (const {startedAt, vm, awaiting} of [...this.state.work.values()]) {
      if (awaiting.length === 0) continue;
      const ends =
        this.drainEnds.get(startedAt) ?? this.now + DRAIN_MILLISECONDS;
      this.drainEnds.set(startedAt, ends);
      if (ends > this.now) continue;
      this.drainEnds.delete(startedAt);
      for (const incarnation of awaiting) {
        this.write({
          kind: RecordKind.DrainAcknowledged,
          incarnation,
          acknowledgements: [{vm, startedAt}],
        });
      }
    }
  }

  private runJobs(): void {
    const reports: JobReport[] = [];
    const index = capacityIndexOf(this.state);
    for (const [vm, keys] of jobIndexOf(this.state).placedKeysByVm) {
      const isGone = !this.list.has(vm);
      const isLeaving = !index.isAvailable(vm);
      for (const key of keys) {
        const outcome = this.jobOutcome(key, isGone, isLeaving);
        const attempt = this.state.jobs.get(key)?.attempt ?? 0;
        if (outcome) reports.push({key, attempt, outcome});
      }
    }
    if (reports.length === 0) return;
    const {term} = plannerOf(this.state);
    this.write({kind: RecordKind.JobsReported, term, reports});
  }

  private jobOutcome(
    key: string,
    isGone: boolean,
    isLeaving: boolean,
  ): JobOutcome | undefined {
    const job = this.state.jobs.get(key);
    const id = `${key}/${job?.attempt}`;
    const ends = this.jobEnds.get(id) ?? this.now + runTime(job?.payload);
    this.jobEnds.set(id, ends);
    const outcome = outcomeOf(
      ends <= this.now,
      isGone,
      isLeaving && (job?.idempotent ?? false),
    );
    if (!outcome) return undefined;
    this.jobEnds.delete(id);
    if (outcome === JobOutcome.Finished) this.totals.jobsFinished++;
    else this.totals.jobsShifted++;
    return outcome;
  }

  private countBudgetMinutes(milliseconds: number): void {
    const minutes = milliseconds / MILLISECONDS_A_MINUTE;
    for (const status of serviceBudgetStatuses(this.state)) {
      const margin = status.availableAfterLoss - status.needed;
      if (margin < 0) this.totals.exposedMinutes += minutes;
      if (status.broken) this.totals.brokenMinutes += minutes;
    }
  }
}

function runTime(payload: string | undefined): number {
  return Number(payload ?? 0) || MILLISECONDS_A_MINUTE;
}

function outcomeOf(
  isOver: boolean,
  isGone: boolean,
  mustMove: boolean,
): JobOutcome | undefined {
  if (isGone) return JobOutcome.Lapsed;
  if (isOver) return JobOutcome.Finished;
  return mustMove ? JobOutcome.Stopped : undefined;
}

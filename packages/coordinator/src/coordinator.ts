import {
  LogEvent,
  logTaskFailure,
  sleep,
  type Clock,
  type LogFields,
  type Logger,
  type Metrics,
} from '@gentiandoor/kernel';
import type {
  ExecutableTask,
  JobExecution,
  JobTable,
  RunEnd,
  StepSpecification,
} from '@gentiandoor/jobs';
import {
  FullestFirst,
  LargestPostponed,
  LowestCostPreemption,
  WorkerReliability,
} from '@gentiandoor/scheduling';
import {
  OverShareLast,
  TokenBucketLedger,
  type EntitlementLedger,
  type PoolShares,
  type Resources,
} from '@gentiandoor/organisations';
import {ActiveJobs} from './active-jobs.js';
import {noteAssigned} from './carried-runs.js';
import type {DispatchHost} from './dispatch-host.js';
import {Dispatcher} from './dispatcher.js';
import {EarlyCancellationRetention} from './early-cancellation-retention.js';
import type {EntrySettings} from './entry-settings.js';
import {FleetController, type FleetHost} from './fleet-controller.js';
import {JobEntitlements} from './job-entitlements.js';
import type {IncarnationEnd} from './incarnation-end.js';
import {LearnedDemandStore} from './learned-demand-store.js';
import type {LiveRun} from './live-run.js';
import type {JobStreams} from './job-streams.js';
import type {VmGateway} from './vm-gateway.js';
import type {Queue} from './operator-records.js';
import type {OperatorView} from './operator-view.js';
import {OrganisationLimits} from './organisation-limits.js';
import {OrderFlow} from './order-flow.js';
import {OrphanRuns} from './orphan-runs.js';
import {ProgressWriter} from './progress-writer.js';
import {PressurePublisher} from './pressure-publisher.js';
import type {RecordFormats} from './record-formats.js';
import type {RecordLog} from './record-log.js';
import {ServiceDemand} from './service-demand.js';
import {RoundCause, type SchedulePlacement} from './round-cause.js';
import {RunLog} from './run-log.js';
import {RunOutcomes} from './run-outcomes.js';
import {RunPreemption} from './run-preemption.js';
import type {SubmissionLog} from './submission-log.js';
import {VmEvacuation} from './vm-evacuation.js';
import {WaitingWorkMonitor} from './waiting-work-monitor.js';
import {WaitingWorkRecorder} from './waiting-work-recorder.js';
import type {
  CallFailure,
  EndedRun,
  OrderRefusal,
  WorkerGateway,
} from './worker-gateway.js';
import {WorkerRegistry} from './worker-registry.js';
import type {SessionHost} from './session-host.js';
import type {WorkerHandle} from './worker-handle.js';
import type {WorkerSession} from './worker-session.js';
import {WorkerSuspicion} from './worker-suspicion.js';

/** Dependencies of a coordinator; all of them outlive it. */
export interface CoordinatorParts {
  readonly settings: EntrySettings;
  readonly log: RecordLog;
  readonly formats: RecordFormats;
  readonly workers: WorkerGateway;
  readonly vmGateway: VmGateway;
  readonly operators: OperatorView;
  readonly table: JobTable;
  readonly jobs: JobStreams;
  readonly submissions: SubmissionLog;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Holds the term in which a coordinator gives orders. */
export interface TermHolder {
  /** Whether the term is held and orders may be issued now. */
  readonly isValid: boolean;
  /** Returns a time at which an earlier term was over; the present time if that is not known. */
  endOfTerm(term: number): number;
  /** Gives the term up, since no order is accepted in it any more. */
  resign(): void;
}

/** Runs survive a network partition shorter than this. */
const LEASE_MILLISECONDS = 8_000;
const RECOVERY_RETRY_MILLISECONDS = 100;

/** Issues the orders of one term, until the term of another daemon begins; never reused. */
export class Coordinator implements SessionHost, DispatchHost, FleetHost {
  readonly leaseMilliseconds: number;
  readonly maximumLeaseMilliseconds: number;
  readonly termStartedAt: number;
  readonly registry: WorkerRegistry;
  readonly reliability = new WorkerReliability();
  /** Which jobs are within the entitlement of their organisations. */
  readonly ledger: EntitlementLedger = new TokenBucketLedger(
    name => this.parts.operators.organisations.find(name)?.weight ?? 0,
  );
  private readonly log: RunLog;
  private readonly orders: OrderFlow;
  private readonly outcomes: RunOutcomes;
  private readonly jobs: ActiveJobs;
  private readonly earlyCancellations: EarlyCancellationRetention;
  private readonly orphans: OrphanRuns;
  private readonly writer: ProgressWriter;
  private readonly dispatcher: Dispatcher;
  private readonly monitor: WaitingWorkMonitor;
  private readonly organisationLimits: OrganisationLimits;
  private readonly entitlements: JobEntitlements;
  private readonly learned: LearnedDemandStore;
  private readonly fleet: FleetController;
  /** Undefined in a deployment without admission control. */
  private readonly pressure: PressurePublisher | undefined;
  private closed = false;
  private recovered = false;
  /** Version that all parts have taken notice of; undefined until the first one is known. */
  private configurationVersion: number | undefined;
  private readonly schedulePlacement: SchedulePlacement = (service, cause) =>
    this.dispatcher.schedulePlacement(service, cause);

  constructor(
    readonly term: number,
    private readonly parts: CoordinatorParts,
    private readonly holder: TermHolder,
  ) {
    const {settings, clock} = parts;
    this.termStartedAt = clock.monotonicMilliseconds();
    this.log = new RunLog(parts);
    this.maximumLeaseMilliseconds = settings.limits.maximumLeaseMilliseconds;
    this.leaseMilliseconds = Math.min(
      LEASE_MILLISECONDS,
      this.maximumLeaseMilliseconds,
    );
    this.writer = new ProgressWriter(
      parts.log,
      clock,
      term,
      {
        onFenced: () => this.onFenced(),
        onNotStorable: execution => this.jobs.giveUp(execution),
      },
      parts.logger,
    );
    this.organisationLimits = new OrganisationLimits({
      operators: parts.operators,
      configurationInForceMilliseconds:
        settings.limits.configurationInForceMilliseconds,
      clock,
      logger: parts.logger,
      metrics: parts.metrics,
      schedulePlacement: this.schedulePlacement,
    });
    const demand = new ServiceDemand();
    const waitingWork = settings.features.admissionControl
      ? new WaitingWorkRecorder(demand, clock)
      : undefined;
    this.entitlements = new JobEntitlements(this.ledger, parts);
    this.monitor = this.newMonitor();
    this.dispatcher = new Dispatcher(
      this,
      new FullestFirst(),
      new LargestPostponed(),
      new OverShareLast(),
      this.ledger,
      demand,
      clock,
      settings.features.preemption ? this.newPreemption() : undefined,
      waitingWork,
      this.monitor,
    );
    this.orders = new OrderFlow({
      ...parts,
      term,
      log: this.log,
      writer: this.writer,
      organisationLimits: this.organisationLimits,
      dispatcher: this.dispatcher,
    });
    this.learned = new LearnedDemandStore(parts, demand);
    this.registry = new WorkerRegistry(parts, this);
    this.orphans = new OrphanRuns(this, clock, (worker, run, end) => {
      if (!this.closed) this.outcomes.orphaned(worker, run, end);
    });
    this.jobs = new ActiveJobs({
      operators: parts.operators,
      submissions: parts.submissions,
      log: this.log,
      writer: this.writer,
      dispatcher: this.dispatcher,
      registry: this.registry,
      orphans: this.orphans,
      organisationLimits: this.organisationLimits,
      entitlements: this.entitlements,
      reliability: this.reliability,
      clock,
      logger: parts.logger,
      stateRetentionMilliseconds: settings.limits.stateRetentionMilliseconds,
      countsExpired: settings.features.admissionControl,
    });
    this.earlyCancellations = new EarlyCancellationRetention({
      ...parts,
      stateRetentionMilliseconds: settings.limits.stateRetentionMilliseconds,
    });
    this.outcomes = new RunOutcomes(
      {
        log: this.log,
        suspicion: new WorkerSuspicion(this.reliability, clock, parts.logger),
        dispatcher: this.dispatcher,
        organisationLimits: this.organisationLimits,
        writer: this.writer,
        registry: this.registry,
        clock,
        hasSingleVmFor: step => this.fleet.hasSingleVmFor(step),
      },
      this.jobs,
    );
    this.fleet = new FleetController(
      term,
      parts,
      this.registry,
      this.dispatcher,
      demand,
      this,
      settings.features.preemption ? this.newEvacuation() : undefined,
    );
    if (waitingWork)
      this.pressure = new PressurePublisher(
        term,
        parts,
        waitingWork,
        demand,
        () => this.ordersAllowed(),
      );
  }

  /** Recovers what earlier coordinators ordered, then continues from there until closed. */
  async run(): Promise<void> {
    const {logger, clock} = this.parts;
    if (!(await this.writer.fenceEarlierTerms())) {
      if (!this.closed) this.onFenced();
      return;
    }
    // Earlier terms can no longer write: a read from now on returns everything that they ordered.
    while (!this.closed && !(await this.parts.jobs.refresh()))
      await sleep(this.parts.clock, RECOVERY_RETRY_MILLISECONDS);
    await Promise.all([this.registry.load(), this.learned.load()]);
    if (this.closed) return;
    this.parts.table.listen({
      submitted: job => this.jobs.add(job),
      cancelled: jobId => this.jobs.cancel(jobId),
      cancelledEarly: ({recordKey}) => this.earlyCancellations.note(recordKey),
    });
    this.jobs.recover(this.parts.table.all());
    this.detectConfigurationChange();
    this.recovered = true;
    logger.info(LogEvent.RecoveryFinished, {
      term: this.term,
      jobs: this.jobs.size,
      workers: this.registry.size,
      milliseconds: clock.monotonicMilliseconds() - this.termStartedAt,
    });
    this.registry.start();
    this.fleet.start();
    this.learned.start();
    this.pressure?.start();
    this.monitor.start();
    this.jobs.start();
    this.earlyCancellations.start();
    await this.followJobs();
  }

  close(): void {
    if (this.closed) return;
    this.closed = true;
    this.parts.table.listen({});
    this.writer.close();
    this.dispatcher.close();
    this.monitor.close();
    this.fleet.close();
    this.learned.close();
    this.entitlements.close();
    this.pressure?.close();
    this.registry.close();
    this.jobs.close();
    this.earlyCancellations.close();
  }

  ordersAllowed(): boolean {
    return !this.closed && this.recovered && this.holder.isValid;
  }

  onFenced(): void {
    this.parts.logger.warn(LogEvent.TermLost, {
      term: this.term,
      reason: 'a higher fencing token was seen',
    });
    this.close();
    this.holder.resign();
  }

  get isConfigured(): boolean {
    return this.configurationVersion !== undefined;
  }

  sessionsOf(service: string): readonly WorkerSession[] {
    return this.registry.ofService(service);
  }

  queueOf(execution: JobExecution): Queue | undefined {
    return this.jobs.queueOf(execution);
  }

  get responseTimeoutMilliseconds(): number {
    return this.orders.responseTimeoutMilliseconds;
  }

  get meanResponseMilliseconds(): number {
    return this.orders.meanResponseMilliseconds;
  }

  noteResponseTime(milliseconds: number): void {
    this.orders.noteResponseTime(milliseconds);
  }

  mayOrder(count: number): boolean {
    return this.orders.mayOrder(count);
  }

  organisationLimitAllows(
    execution: JobExecution,
    tasks: readonly ExecutableTask[],
    service: string,
  ): boolean {
    return this.organisationLimits.mayStart(execution, tasks, service);
  }

  fleetCanRun(step: StepSpecification, except?: string): boolean {
    return this.fleet.canRun(step, except);
  }

  poolShares(
    service: string,
    waiting: ReadonlySet<string>,
    pool: Resources,
  ): PoolShares {
    return this.organisationLimits.poolShares(service, waiting, pool);
  }

  placementFailed(fields: LogFields, error: unknown): void {
    logTaskFailure(this.parts.logger, 'placement', fields, error);
  }

  launch(session: WorkerSession, run: LiveRun): void {
    this.orders.launch(session, run);
  }

  endOfTerm(term: number): number {
    return this.holder.endOfTerm(term);
  }

  runSurvived(run: LiveRun): void {
    this.outcomes.survived(run);
  }

  runEnded(
    session: WorkerHandle,
    run: LiveRun,
    end: RunEnd,
    checkpoint: string,
  ): void {
    this.outcomes.ended(session, run, end, checkpoint);
  }

  lateRunEnded(ended: EndedRun): void {
    const found = this.jobs.findTask(ended);
    if (found) this.outcomes.endedLate(found.execution, found.task, ended);
  }

  startRefused(
    session: WorkerHandle,
    run: LiveRun,
    refusal: OrderRefusal,
  ): void {
    this.outcomes.refused(session, run, refusal);
  }

  startUnanswered(
    session: WorkerHandle,
    run: LiveRun,
    failure: CallFailure,
  ): void {
    this.log.startUnanswered(run, session.id, failure);
    this.startInDoubt(run);
  }

  startInDoubt(run: LiveRun): void {
    this.outcomes.startInDoubt(run);
  }

  runStarted(run: LiveRun): void {
    this.outcomes.started(run);
  }

  startExecuted(run: LiveRun): void {
    this.outcomes.startExecuted(run);
  }

  runStalled(session: WorkerHandle, run: LiveRun): void {
    this.outcomes.stalled(session, run);
  }

  afterStored(then: () => void): void {
    this.writer.afterStored(then);
  }

  sessionChanged(session: WorkerHandle): void {
    if (session.isDraining) this.evacuateLongRunningTasks(session);
    if (session.acceptsStarts)
      this.schedulePlacement(session.entry.service, RoundCause.WorkerChanged);
  }

  /**
   * Probes all workers in the data centre of a silent one: a network partition affects a whole data
   * centre at a time.
   */
  sessionSilent(silent: WorkerHandle): void {
    for (const session of this.registry.all())
      if (session.entry.dataCentre === silent.entry.dataCentre)
        void session.probe();
  }

  runsCarriedOver(session: WorkerHandle, runs: readonly LiveRun[]): void {
    for (const run of runs) {
      this.log.carriedOver(run, session.id);
      this.orphans.addCarried(session.id, run);
    }
  }

  sessionEnded(session: WorkerHandle, end: IncarnationEnd): void {
    this.reliability.forgetWorker(session.id);
    this.registry.remove(session, end);
  }

  /** Assigns recovered runs to the worker that has registered: they may still be alive there. */
  sessionAdded(session: WorkerSession): void {
    for (const run of this.orphans.take(session.entry)) {
      noteAssigned(run, session.id, this.parts.clock.monotonicMilliseconds());
      session.addRun(run);
      // The job may have ended while the worker had no session: without the stop the run would
      // continue forever, since its lease is renewed. Every run is added to a session here or where
      // it is ordered, so none is missed.
      if (run.execution.hasEnded || run.executableTask.progress.done)
        void session.stopRun(run);
    }
  }

  vmsListed(isGone: (instance: string) => boolean): void {
    this.orphans.endGone(isGone);
  }

  enforcesCapacity(service: string): boolean {
    return this.parts.operators.service(service)?.enforcesCapacity === true;
  }

  areCapacitiesFresh(): boolean {
    return this.registry.isFresh;
  }

  usesWorkersOf(service: string): boolean {
    const {operators} = this.parts;
    if (!operators.configuration) return true;
    return operators.service(service)?.standby === false;
  }

  isServiceKnown(service: string): boolean {
    const {operators} = this.parts;
    return !operators.configuration || operators.service(service) !== undefined;
  }

  private newEvacuation(): VmEvacuation {
    return new VmEvacuation({
      ...this.parts,
      runLog: this.log,
      store: (execution, then) => this.writer.store(execution, then),
    });
  }

  private newMonitor(): WaitingWorkMonitor {
    return new WaitingWorkMonitor({
      ...this.parts,
      services: () => this.dispatcher.services(),
      hasReadyTasks: service => this.dispatcher.hasReadyTasks(service),
      sessionsOf: service => this.registry.ofService(service),
      schedulePlacement: this.schedulePlacement,
      storeWaitMilliseconds: () => this.writer.waitMilliseconds,
    });
  }

  private newPreemption(): RunPreemption {
    const {limits} = this.parts.settings;
    return new RunPreemption({
      ...this.parts,
      runLog: this.log,
      policy: new LowestCostPreemption(limits.restoreMilliseconds),
      workerChoice: new FullestFirst(),
      limits,
      store: (execution, then) => this.writer.store(execution, then),
      schedulePlacement: this.schedulePlacement,
    });
  }

  private followJobs(): Promise<void> {
    return this.parts.jobs.followSubmissions(
      () => this.closed,
      () => this.detectConfigurationChange(),
    );
  }

  private detectConfigurationChange(): void {
    const version = this.parts.operators.configuration?.version;
    if (version === this.configurationVersion) return;
    this.configurationVersion = version;
    this.registry.configurationChanged();
    this.jobs.configurationChanged();
    this.dispatcher.regroup();
  }

  /**
   * Stops long-running tasks on a draining worker: otherwise they are lost with it and stay missing
   * until the loss is certain.
   */
  private evacuateLongRunningTasks(session: WorkerHandle): void {
    for (const run of session.runs.values())
      if (run.executableTask.specification.longRunning)
        void session.stopRun(run);
  }
}

import {
  LogEvent,
  MetricName,
  type Clock,
  type Logger,
  type Metrics,
} from '@gentiandoor/kernel';
import type {ExecutableTask, JobExecution} from '@gentiandoor/jobs';
import {
  OrganisationMetricLabels,
  ResourceReservations,
  type PoolShares,
  type Resources,
} from '@gentiandoor/organisations';
import {runName, type LiveRun} from './live-run.js';
import type {OperatorView} from './operator-view.js';

/** Time between the check of a limit and the arrival of the order. */
const AGE_MARGIN_MILLISECONDS = 500;
/** Interval at which work that waits for unknown limits is placed again. */
const UNKNOWN_LIMIT_RETRY_MILLISECONDS = 200;
/** Minimum interval between two log lines about one organisation. */
const MINIMUM_LOG_INTERVAL_MILLISECONDS = 1_000;

/** What the rooms of organisations are built from. */
export interface OrganisationLimitParts {
  readonly operators: OperatorView;
  /** Milliseconds after which a configuration must be in force. */
  readonly configurationInForceMilliseconds: number;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Places what waits for a service. */
  readonly schedulePlacement: (service: string) => void;
}

/** Holds every organisation within its limit of room, over all services. */
export class OrganisationLimits {
  private readonly ledger = new ResourceReservations();
  /** The same for each service alone: shares are those of its pool. */
  private readonly byService = new Map<string, ResourceReservations>();
  /** Services with work that waits for an organisation's limit. */
  private readonly waitingServices = new Map<string, Set<string>>();
  /** Services that are looked at again since a limit was not known. */
  private readonly servicesToRetry = new Set<string>();
  private readonly loggedAt = new Map<string, number>();
  private readonly labels = new OrganisationMetricLabels();

  constructor(private readonly parts: OrganisationLimitParts) {}

  /** Counts a run from before it is ordered; also one that an earlier coordinator ordered. */
  countRun(run: LiveRun): void {
    const {organisation} = run.execution.job;
    if (organisation === undefined) return;
    const {specification} = run.executableTask;
    this.ledger.reserve(runName(run), organisation, specification);
    this.ledgerOf(run.execution.job.service).reserve(
      runName(run),
      organisation,
      specification,
    );
    this.reportUsage(organisation);
  }

  /** The run is over; work of its organisation may have waited for that, also in other services. */
  releaseRun(run: LiveRun): void {
    const organisation = this.ledger.release(runName(run));
    this.ledgerOf(run.execution.job.service).release(runName(run));
    if (organisation === undefined) return;
    this.reportUsage(organisation);
    const services = this.waitingServices.get(organisation) ?? NO_SERVICES;
    this.waitingServices.delete(organisation);
    for (const service of services) this.parts.schedulePlacement(service);
  }

  /** Whether tasks of a job may be started together now; what may not waits for the end of a run. */
  mayStart(
    execution: JobExecution,
    tasks: readonly ExecutableTask[],
    service: string,
  ): boolean {
    const {organisation} = execution.job;
    if (organisation === undefined) return true;
    const amounts = tasks.map(task => task.specification);
    const limit = this.limitOf(organisation);
    if (!this.isLimitKnown()) this.scheduleRetry(service);
    else if (this.ledger.canReserve(organisation, limit, amounts)) return true;
    const services = this.waitingServices.get(organisation) ?? new Set();
    this.waitingServices.set(organisation, services.add(service));
    this.logAtLimit(organisation, limit);
    return false;
  }

  /**
   * Whether a run that was counted may still be ordered. Storing it takes a while, and the limit may have
   * been lowered meanwhile.
   */
  mayBeOrdered(run: LiveRun): boolean {
    const {organisation} = run.execution.job;
    if (organisation === undefined) return true;
    return this.ledger.isWithinLimit(
      organisation,
      this.limitOf(organisation),
      run.executableTask.specification,
    );
  }

  /** Claims on the pool of `service` of the organisations that have work there. */
  poolShares(
    service: string,
    waiting: ReadonlySet<string>,
    pool: Resources,
  ): PoolShares {
    const ledger = this.ledgerOf(service);
    const names = new Set([...waiting, ...ledger.organisations()]);
    let totalWeight = 0;
    for (const name of names) totalWeight += this.weightOf(name);
    return {
      capacity: pool,
      totalWeight,
      weightOf: name => this.weightOf(name),
      usedBy: name => ledger.usedBy(name),
    };
  }

  private ledgerOf(service: string): ResourceReservations {
    let ledger = this.byService.get(service);
    if (!ledger)
      this.byService.set(service, (ledger = new ResourceReservations()));
    return ledger;
  }

  private weightOf(organisation: string): number {
    return this.parts.operators.organisations.find(organisation)?.weight ?? 0;
  }

  private limitOf(organisation: string): Resources {
    return this.parts.operators.organisations.limitOf(organisation);
  }

  /** A coordinator that can't read the configuration may miss that a limit was lowered. */
  private isLimitKnown(): boolean {
    const {operators, configurationInForceMilliseconds: inForce} = this.parts;
    return operators.ageMilliseconds <= inForce - AGE_MARGIN_MILLISECONDS;
  }

  /** Without it work of an organisation of which nothing runs waits for ever: no end of a run brings another look. */
  private scheduleRetry(service: string): void {
    if (this.servicesToRetry.has(service)) return;
    this.servicesToRetry.add(service);
    this.parts.clock.schedule(UNKNOWN_LIMIT_RETRY_MILLISECONDS, () => {
      this.servicesToRetry.delete(service);
      this.parts.schedulePlacement(service);
    });
  }

  private reportUsage(organisation: string): void {
    this.parts.metrics.gauge(
      MetricName.OrganisationMillicores,
      this.ledger.usedBy(organisation).processorMillicores,
      {organisation: this.labels.labelFor(organisation)},
    );
  }

  private logAtLimit(organisation: string, limit: Resources): void {
    const now = this.parts.clock.monotonicMilliseconds();
    const before = this.loggedAt.get(organisation) ?? -Infinity;
    if (now - before < MINIMUM_LOG_INTERVAL_MILLISECONDS) return;
    this.loggedAt.set(organisation, now);
    this.parts.logger.info(LogEvent.OrganisationAtLimit, {
      organisation,
      used: this.ledger.usedBy(organisation),
      limit,
      configurationAgeMilliseconds: Math.round(
        this.parts.operators.ageMilliseconds,
      ),
    });
  }
}

const NO_SERVICES: ReadonlySet<string> = new Set();

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
import {RoundCause, type SchedulePlacement} from './round-cause.js';

/**
 * Allowance for the time between the check of a limit and the arrival of the order at the worker.
 */
const AGE_MARGIN_MILLISECONDS = 500;
/** Interval at which placement is retried for work whose limit is unknown. */
const UNKNOWN_LIMIT_RETRY_MILLISECONDS = 200;
/** Minimum interval between two log lines about one organisation. */
const MINIMUM_LOG_INTERVAL_MILLISECONDS = 1_000;

/** Dependencies of `OrganisationLimits`. */
export interface OrganisationLimitParts {
  readonly operators: OperatorView;
  /** Time in milliseconds within which a configuration must be in force. */
  readonly configurationInForceMilliseconds: number;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly schedulePlacement: SchedulePlacement;
}

/** Keeps each organisation within its resource limit across all services. */
export class OrganisationLimits {
  private readonly reservations = new ResourceReservations();
  /** Reservations per service, since shares apply to the pool of one service. */
  private readonly reservationsByService = new Map<
    string,
    ResourceReservations
  >();
  /** Services with work that waits for the limit of each organisation. */
  private readonly waitingServices = new Map<string, Set<string>>();
  /** Services with a scheduled retry because a limit was unknown. */
  private readonly servicesToRetry = new Set<string>();
  private readonly loggedAt = new Map<string, number>();
  private readonly labels = new OrganisationMetricLabels();

  constructor(private readonly parts: OrganisationLimitParts) {}

  /**
   * Counts a run before its order is sent; also called for runs that an earlier coordinator
   * ordered.
   */
  countRun(run: LiveRun): void {
    const {organisation} = run.execution.job;
    if (organisation === undefined) return;
    const {specification} = run.executableTask;
    this.reservations.reserve(runName(run), organisation, specification);
    this.reservationsOf(run.execution.job.service).reserve(
      runName(run),
      organisation,
      specification,
    );
    this.reportUsage(organisation);
  }

  /**
   * Releases an ended run, and schedules all services with work that waits for its organisation's
   * limit.
   */
  releaseRun(run: LiveRun): void {
    const organisation = this.reservations.release(runName(run));
    this.reservationsOf(run.execution.job.service).release(runName(run));
    if (organisation === undefined) return;
    this.reportUsage(organisation);
    const services = this.waitingServices.get(organisation) ?? NO_SERVICES;
    this.waitingServices.delete(organisation);
    for (const service of services)
      this.parts.schedulePlacement(service, RoundCause.OrganisationBelowLimit);
  }

  /**
   * Returns whether tasks of a job may start together now; if not, they wait for the end of a run.
   */
  mayStart(
    execution: JobExecution,
    tasks: readonly ExecutableTask[],
    service: string,
  ): boolean {
    const {organisation} = execution.job;
    if (organisation === undefined) return true;
    const resources = tasks.map(task => task.specification);
    const limit = this.limitOf(organisation);
    if (!this.isLimitKnown()) this.scheduleRetry(service);
    else if (this.reservations.canReserve(organisation, limit, resources))
      return true;
    const services = this.waitingServices.get(organisation) ?? new Set();
    this.waitingServices.set(organisation, services.add(service));
    this.logAtLimit(organisation, limit);
    return false;
  }

  /**
   * Returns whether a run that was counted may still be ordered: the limit may have been lowered
   * while the run was being stored.
   */
  mayBeOrdered(run: LiveRun): boolean {
    const {organisation} = run.execution.job;
    if (organisation === undefined) return true;
    return this.reservations.isWithinLimit(
      organisation,
      this.limitOf(organisation),
      run.executableTask.specification,
    );
  }

  /**
   * Returns the shares in the pool of `service` of all organisations with running or waiting work
   * there.
   */
  poolShares(
    service: string,
    waiting: ReadonlySet<string>,
    pool: Resources,
  ): PoolShares {
    const reservations = this.reservationsOf(service);
    const names = new Set([...waiting, ...reservations.organisations()]);
    let totalWeight = 0;
    for (const name of names) totalWeight += this.weightOf(name);
    return {
      capacity: pool,
      totalWeight,
      weightOf: name => this.weightOf(name),
      usedBy: name => reservations.usedBy(name),
    };
  }

  private reservationsOf(service: string): ResourceReservations {
    let reservations = this.reservationsByService.get(service);
    if (!reservations)
      this.reservationsByService.set(
        service,
        (reservations = new ResourceReservations()),
      );
    return reservations;
  }

  private weightOf(organisation: string): number {
    return this.parts.operators.organisations.find(organisation)?.weight ?? 0;
  }

  private limitOf(organisation: string): Resources {
    return this.parts.operators.organisations.limitOf(organisation);
  }

  /**
   * Returns whether the configuration is recent enough: a coordinator that cannot read it may miss
   * a lowered limit.
   */
  private isLimitKnown(): boolean {
    const {operators, configurationInForceMilliseconds} = this.parts;
    return (
      operators.ageMilliseconds <=
      configurationInForceMilliseconds - AGE_MARGIN_MILLISECONDS
    );
  }

  /**
   * Schedules a retry: work of an organisation without runs would wait forever, since no end of a
   * run triggers placement.
   */
  private scheduleRetry(service: string): void {
    if (this.servicesToRetry.has(service)) return;
    this.servicesToRetry.add(service);
    this.parts.clock.schedule(UNKNOWN_LIMIT_RETRY_MILLISECONDS, () => {
      this.servicesToRetry.delete(service);
      this.parts.schedulePlacement(service, RoundCause.OrganisationBelowLimit);
    });
  }

  private reportUsage(organisation: string): void {
    this.parts.metrics.gauge(
      MetricName.OrganisationMillicores,
      this.reservations.usedBy(organisation).processorMillicores,
      {organisation: this.labels.labelFor(organisation)},
    );
  }

  private logAtLimit(organisation: string, limit: Resources): void {
    const now = this.parts.clock.monotonicMilliseconds();
    const lastLoggedAt = this.loggedAt.get(organisation) ?? -Infinity;
    if (now - lastLoggedAt < MINIMUM_LOG_INTERVAL_MILLISECONDS) return;
    this.loggedAt.set(organisation, now);
    this.parts.logger.info(LogEvent.OrganisationAtLimit, {
      organisation,
      used: this.reservations.usedBy(organisation),
      limit,
      configurationAgeMilliseconds: Math.round(
        this.parts.operators.ageMilliseconds,
      ),
    });
  }
}

const NO_SERVICES: ReadonlySet<string> = new Set();

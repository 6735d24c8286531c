import {
  LogEvent,
  MetricName,
  type Clock,
  type Logger,
  type Metrics,
} from '@gentiandoor/kernel';
import type {ExecutableTask, JobExecution} from '@gentiandoor/jobs';
import {
  NO_LIMIT,
  OrganisationLabels,
  RoomLedger,
  type RoomAmount,
} from '@gentiandoor/organisations';
import {runName, type LiveRun} from './live-run.js';
import type {OperatorView} from './operator-view.js';

/** Room for the way of an order after its limit was looked at. */
const AGE_MARGIN_MILLISECONDS = 500;
/** The line about an organisation at its limit comes once in this time. */
const LINE_GAP_MILLISECONDS = 1_000;

/** What the rooms of organisations are built from. */
export interface OrganisationRoomParts {
  readonly operators: OperatorView;
  /** Milliseconds after which a configuration must be in force. */
  readonly inForce: number;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Holds every organisation within its limit of room, over all services. */
export class OrganisationRooms {
  private readonly ledger = new RoomLedger();
  /** Services with work that waits for an organisation's limit. */
  private readonly waiting = new Map<string, Set<string>>();
  private readonly toldAt = new Map<string, number>();
  private readonly labels = new OrganisationLabels();

  constructor(private readonly parts: OrganisationRoomParts) {}

  /** Counts a run from before it is ordered; also one that an earlier coordinator ordered. */
  begin(run: LiveRun): void {
    const {organisation} = run.execution.job;
    if (organisation === undefined) return;
    this.ledger.take(runName(run), organisation, run.taskOfJob.specification);
    this.show(organisation);
  }

  /** The run is over; returns the services whose work may have waited for it. */
  end(run: LiveRun): Iterable<string> {
    const organisation = this.ledger.release(runName(run));
    if (organisation === undefined) return NOWHERE;
    this.show(organisation);
    const services = this.waiting.get(organisation) ?? NOWHERE;
    this.waiting.delete(organisation);
    return services;
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
    if (this.isLimitKnown() && this.ledger.allows(organisation, limit, amounts))
      return true;
    const services = this.waiting.get(organisation) ?? new Set();
    this.waiting.set(organisation, services.add(service));
    this.tell(organisation, limit);
    return false;
  }

  /**
   * Whether a run that was counted may still be ordered. Storing it takes a while, and the limit may have
   * been lowered meanwhile.
   */
  mayBeOrdered(run: LiveRun): boolean {
    const {organisation} = run.execution.job;
    if (organisation === undefined) return true;
    return this.ledger.holds(
      organisation,
      this.limitOf(organisation),
      run.taskOfJob.specification,
    );
  }

  /** What an organisation has under way, as far as it may be alive. */
  usedBy(organisation: string): RoomAmount {
    return this.ledger.usedBy(organisation);
  }

  private limitOf(organisation: string): RoomAmount {
    return (
      this.parts.operators.organisations.find(organisation)?.limit ?? NO_LIMIT
    );
  }

  /** A coordinator that can't read the configuration may miss that a limit was lowered. */
  private isLimitKnown(): boolean {
    const {operators, inForce} = this.parts;
    return operators.ageMilliseconds <= inForce - AGE_MARGIN_MILLISECONDS;
  }

  private show(organisation: string): void {
    this.parts.metrics.gauge(
      MetricName.OrganisationMillicores,
      this.ledger.usedBy(organisation).processorMillicores,
      {organisation: this.labels.of(organisation)},
    );
  }

  private tell(organisation: string, limit: RoomAmount): void {
    const now = this.parts.clock.monotonicMilliseconds();
    const before = this.toldAt.get(organisation) ?? -Infinity;
    if (now - before < LINE_GAP_MILLISECONDS) return;
    this.toldAt.set(organisation, now);
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

const NOWHERE: ReadonlySet<string> = new Set();

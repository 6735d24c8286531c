import {
  LogEvent,
  MetricName,
  type Clock,
  type Logger,
  type Metrics,
} from '@gentiandoor/kernel';
import type {ExecutableTask, JobExecution} from '@gentiandoor/jobs';
import {
  OrganisationLabels,
  RoomLedger,
  type PoolClaims,
  type RoomAmount,
} from '@gentiandoor/organisations';
import {runName, type LiveRun} from './live-run.js';
import type {OperatorView} from './operator-view.js';

/** Time between the check of a limit and the arrival of the order. */
const AGE_MARGIN_MILLISECONDS = 500;
/** Interval at which work that waits for unknown limits is placed again. */
const LOOK_AGAIN_MILLISECONDS = 200;
/** Minimum interval between two log lines about one organisation. */
const LINE_GAP_MILLISECONDS = 1_000;

/** What the rooms of organisations are built from. */
export interface OrganisationRoomParts {
  readonly operators: OperatorView;
  /** Milliseconds after which a configuration must be in force. */
  readonly inForce: number;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Places what waits for a service. */
  readonly wake: (service: string) => void;
}

/** Holds every organisation within its limit of room, over all services. */
export class OrganisationRooms {
  private readonly ledger = new RoomLedger();
  /** The same for each service alone: shares are those of its pool. */
  private readonly byService = new Map<string, RoomLedger>();
  /** Services with work that waits for an organisation's limit. */
  private readonly waiting = new Map<string, Set<string>>();
  /** Services that are looked at again since a limit was not known. */
  private readonly lookingAgain = new Set<string>();
  private readonly toldAt = new Map<string, number>();
  private readonly labels = new OrganisationLabels();

  constructor(private readonly parts: OrganisationRoomParts) {}

  /** Counts a run from before it is ordered; also one that an earlier coordinator ordered. */
  begin(run: LiveRun): void {
    const {organisation} = run.execution.job;
    if (organisation === undefined) return;
    const {specification} = run.taskOfJob;
    this.ledger.take(runName(run), organisation, specification);
    this.ledgerOf(run.execution.job.service).take(
      runName(run),
      organisation,
      specification,
    );
    this.show(organisation);
  }

  /** The run is over; work of its organisation may have waited for that, also in other services. */
  end(run: LiveRun): void {
    const organisation = this.ledger.release(runName(run));
    this.ledgerOf(run.execution.job.service).release(runName(run));
    if (organisation === undefined) return;
    this.show(organisation);
    const services = this.waiting.get(organisation) ?? NOWHERE;
    this.waiting.delete(organisation);
    for (const service of services) this.parts.wake(service);
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
    if (!this.isLimitKnown()) this.lookAgainSoon(service);
    else if (this.ledger.allows(organisation, limit, amounts)) return true;
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

  /** Claims on the pool of `service` of the organisations that have work there. */
  claimsOn(
    service: string,
    waiting: ReadonlySet<string>,
    pool: RoomAmount,
  ): PoolClaims {
    const ledger = this.ledgerOf(service);
    const names = new Set([...waiting, ...ledger.organisations()]);
    let totalWeight = 0;
    for (const name of names) totalWeight += this.weightOf(name);
    return {
      pool,
      totalWeight,
      weightOf: name => this.weightOf(name),
      usedBy: name => ledger.usedBy(name),
    };
  }

  private ledgerOf(service: string): RoomLedger {
    let ledger = this.byService.get(service);
    if (!ledger) this.byService.set(service, (ledger = new RoomLedger()));
    return ledger;
  }

  private weightOf(organisation: string): number {
    return this.parts.operators.organisations.find(organisation)?.weight ?? 0;
  }

  private limitOf(organisation: string): RoomAmount {
    return this.parts.operators.organisations.limitOf(organisation);
  }

  /** A coordinator that can't read the configuration may miss that a limit was lowered. */
  private isLimitKnown(): boolean {
    const {operators, inForce} = this.parts;
    return operators.ageMilliseconds <= inForce - AGE_MARGIN_MILLISECONDS;
  }

  /** Without it work of an organisation of which nothing runs waits for ever: no end of a run brings another look. */
  private lookAgainSoon(service: string): void {
    if (this.lookingAgain.has(service)) return;
    this.lookingAgain.add(service);
    this.parts.clock.schedule(LOOK_AGAIN_MILLISECONDS, () => {
      this.lookingAgain.delete(service);
      this.parts.wake(service);
    });
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

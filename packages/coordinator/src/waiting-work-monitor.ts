import {
  LogEvent,
  MetricName,
  countBy,
  type Clock,
  type Logger,
  type Metrics,
  type Timer,
} from '@gentiandoor/kernel';
import {RoundCause, type SchedulePlacement} from './round-cause.js';
import type {RoundObserver, RoundSummary, WaitReason} from './round-outcome.js';
import type {WorkerSession} from './worker-session.js';

/** Dependencies of a monitor of waiting work. */
export interface WaitingWorkMonitorParts {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Returns all services with jobs. */
  readonly services: () => Iterable<string>;
  readonly hasReadyTasks: (service: string) => boolean;
  readonly sessionsOf: (service: string) => readonly WorkerSession[];
  readonly schedulePlacement: SchedulePlacement;
  /** How long progress has waited to be stored, in milliseconds. */
  readonly storeWaitMilliseconds: () => number;
}

const CHECK_INTERVAL_MILLISECONDS = 500;
/** Work that stands, or progress that is not stored, for longer is logged. */
const LOGGED_STAND_MILLISECONDS = 1_000;
/**
 * A service whose work has stood for this long, without a round meanwhile, gets one. Without it, a
 * wake-up that is missing leaves the work standing until the next event of the service.
 */
const RECONCILED_STAND_MILLISECONDS = 1_000;
/** Minimum interval between two log lines about one service. */
const MINIMUM_LOG_INTERVAL_MILLISECONDS = 2_000;

/** The last round of a service, and how long its ready tasks have stood. */
interface ServiceRecord {
  /** Latest time at which a task was placed or none was ready. */
  movedAt: number;
  loggedAt: number;
  roundAt: number;
  round: RoundSummary | undefined;
}

/** Measures for how long ready tasks stand, and logs why. */
export class WaitingWorkMonitor implements RoundObserver {
  private readonly records = new Map<string, ServiceRecord>();
  private timer: Timer | undefined;
  private storeWaitLoggedAt = -Infinity;
  private closed = false;

  constructor(private readonly parts: WaitingWorkMonitorParts) {}

  start(): void {
    if (this.closed) return;
    this.timer = this.parts.clock.schedule(CHECK_INTERVAL_MILLISECONDS, () => {
      this.check();
      this.start();
    });
  }

  close(): void {
    this.closed = true;
    this.timer?.cancel();
  }

  noteRound(round: RoundSummary): void {
    const {metrics} = this.parts;
    const record = this.recordOf(round.service);
    for (const cause of round.causes)
      metrics.increment(MetricName.PlacementRounds, {cause});
    this.clearWaiting(round.service, record);
    for (const [reason, count] of round.waiting)
      this.gaugeWaiting(round.service, reason, count);
    if (isOverlooked(round)) this.reportOverlooked(round, record);
    record.round = round;
    record.roundAt = this.now();
    if (round.placed > 0 || round.waiting.size === 0)
      record.movedAt = record.roundAt;
  }

  private check(): void {
    this.checkStore();
    const services = [...this.records.keys(), ...this.parts.services()];
    for (const service of new Set(services)) this.checkService(service);
  }

  private checkStore(): void {
    const {metrics, logger, storeWaitMilliseconds} = this.parts;
    const milliseconds = Math.round(storeWaitMilliseconds());
    metrics.gauge(MetricName.ProgressStoreWait, milliseconds);
    if (
      milliseconds < LOGGED_STAND_MILLISECONDS ||
      this.now() - this.storeWaitLoggedAt < MINIMUM_LOG_INTERVAL_MILLISECONDS
    )
      return;
    this.storeWaitLoggedAt = this.now();
    logger.warn(LogEvent.ProgressNotStored, {milliseconds});
  }

  private checkService(service: string): void {
    const {metrics, hasReadyTasks} = this.parts;
    const now = this.now();
    const record = this.recordOf(service);
    if (!hasReadyTasks(service)) {
      record.movedAt = now;
      this.clearWaiting(service, record);
    }
    const stoodMilliseconds = now - record.movedAt;
    metrics.gauge(MetricName.WorkStanding, Math.round(stoodMilliseconds), {
      service,
    });
    if (
      stoodMilliseconds >= RECONCILED_STAND_MILLISECONDS &&
      now - record.roundAt >= RECONCILED_STAND_MILLISECONDS
    )
      this.parts.schedulePlacement(service, RoundCause.Reconciliation);
    if (
      stoodMilliseconds < LOGGED_STAND_MILLISECONDS ||
      now - record.loggedAt < MINIMUM_LOG_INTERVAL_MILLISECONDS
    )
      return;
    record.loggedAt = now;
    this.log(service, record, stoodMilliseconds);
  }

  private log(
    service: string,
    {round, roundAt}: ServiceRecord,
    stoodMilliseconds: number,
  ): void {
    const {logger, sessionsOf, storeWaitMilliseconds} = this.parts;
    const sessions = sessionsOf(service);
    const blocks = sessions.flatMap(({startBlock}) => startBlock ?? []);
    logger.warn(LogEvent.WorkStands, {
      service,
      milliseconds: Math.round(stoodMilliseconds),
      sinceRoundMilliseconds: round && Math.round(this.now() - roundAt),
      causes: round && [...round.causes],
      waiting: round && Object.fromEntries(round.waiting),
      workers: sessions.length,
      blocked: Object.fromEntries(countBy(blocks, block => block)),
      storeWaitMilliseconds: Math.round(storeWaitMilliseconds()),
    });
  }

  private reportOverlooked(
    {service, placed}: RoundSummary,
    {movedAt, round}: ServiceRecord,
  ): void {
    const {logger, metrics} = this.parts;
    metrics.increment(MetricName.TasksOverlooked, {service}, placed);
    logger.warn(LogEvent.WorkOverlooked, {
      service,
      tasks: placed,
      milliseconds: Math.round(this.now() - movedAt),
      waiting: round && Object.fromEntries(round.waiting),
    });
  }

  private clearWaiting(service: string, {round}: ServiceRecord): void {
    for (const reason of round?.waiting.keys() ?? [])
      this.gaugeWaiting(service, reason, 0);
  }

  private gaugeWaiting(
    service: string,
    reason: WaitReason,
    count: number,
  ): void {
    this.parts.metrics.gauge(MetricName.TasksWaiting, count, {service, reason});
  }

  private recordOf(service: string): ServiceRecord {
    let record = this.records.get(service);
    if (!record) {
      record = {
        movedAt: this.now(),
        loggedAt: -Infinity,
        roundAt: -Infinity,
        round: undefined,
      };
      this.records.set(service, record);
    }
    return record;
  }

  private now(): number {
    return this.parts.clock.monotonicMilliseconds();
  }
}

/** Returns whether a round placed work that no event had announced. */
function isOverlooked({causes, placed}: RoundSummary): boolean {
  return (
    placed > 0 && causes.size === 1 && causes.has(RoundCause.Reconciliation)
  );
}

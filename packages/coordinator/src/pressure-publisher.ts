import {
  encodePressureReport,
  type PressureReport,
} from '@gentiandoor/admission';
import {
  LogEvent,
  MetricName,
  sleep,
  supervise,
  type Clock,
  type Logger,
  type Metrics,
} from '@gentiandoor/kernel';
import type {EntrySettings} from './entry-settings.js';
import {
  jobsOfUse,
  measurePressure,
  runTimeRatios,
} from './pressure-measurement.js';
import {
  AppendOutcome,
  LogStream,
  ReadOutcome,
  type RecordLog,
} from './record-log.js';
import type {ServiceDemand} from './service-demand.js';
import type {ServiceWaitingWork, WaitingWorkSource} from './waiting-work.js';

/** Key of the only record in the stream. */
export const PRESSURE_KEY = 'pressure';
const CHECK_MILLISECONDS = 50;
const PUBLISH_MILLISECONDS = 300;
/** Work that waits for less than this is in the normal course of placement. */
const PRESSED_MILLISECONDS = 200;
const ROSTER_RETRY_MILLISECONDS = 1_000;

/** Dependencies of a `PressurePublisher`. */
export interface PressurePublisherParts {
  readonly log: RecordLog;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly settings: Pick<EntrySettings, 'limits'>;
}

/**
 * Publishes reports about waiting work while there is pressure, and one without services once it is
 * over. Each report is an append of its own, outside the coordinator's queues of writes. While one
 * is in flight no other is sent; one that fails is dropped, since the next one replaces it.
 */
export class PressurePublisher {
  private sequence = 0;
  private isInFlight = false;
  private wasPressed = false;
  private publishedAt = -Infinity;
  private lastOutcome = AppendOutcome.Appended;
  private daemons = 1;
  /** Time since which work of each service has waited without interruption. */
  private readonly pressedSince = new Map<string, number>();
  private closed = false;

  constructor(
    private readonly term: number,
    private readonly parts: PressurePublisherParts,
    private readonly source: WaitingWorkSource,
    private readonly demand: ServiceDemand,
    private readonly mayPublish: () => boolean,
  ) {}

  start(): void {
    const isStopped = () => this.closed;
    void supervise({
      ...this.parts,
      name: 'pressure publisher',
      isStopped,
      run: () => this.run(),
    });
    void supervise({
      ...this.parts,
      name: 'count of daemons',
      isStopped,
      run: () => this.countDaemons(),
    });
  }

  close(): void {
    this.closed = true;
  }

  private async run(): Promise<void> {
    while (!this.closed) {
      await sleep(this.parts.clock, CHECK_MILLISECONDS);
      if (!this.closed && this.mayPublish()) this.publishIfDue();
    }
  }

  /** Reads once how many daemons have announced themselves; they start rarely within a term. */
  private async countDaemons(): Promise<void> {
    while (!this.closed) {
      const result = await this.parts.log.newestByKey(LogStream.Daemons);
      if (result.outcome === ReadOutcome.Read) {
        this.daemons = Math.max(1, result.records.length);
        return;
      }
      await sleep(this.parts.clock, ROSTER_RETRY_MILLISECONDS);
    }
  }

  private publishIfDue(): void {
    const now = this.parts.clock.monotonicMilliseconds();
    const waiting = this.waitingWork(now);
    if (this.isInFlight || now - this.publishedAt < PUBLISH_MILLISECONDS)
      return;
    const isPressed = [...this.pressedSince.values()].some(
      since => now - since > PRESSED_MILLISECONDS,
    );
    if (!isPressed && !this.wasPressed) return;
    this.noteChange(isPressed);
    this.publishedAt = now;
    void this.publish(this.reportOf(isPressed ? waiting : [], now));
  }

  /**
   * Returns the services with work that waits and is of use, and notes since when. A job that no
   * worker can run waits forever; reports about it would cost every daemon a read each.
   */
  private waitingWork(now: number): readonly ServiceWaitingWork[] {
    const waiting = this.source
      .waitingWork()
      .filter(one => jobsOfUse(one, now).length > 0);
    const services = new Set(waiting.map(({service}) => service));
    for (const service of this.pressedSince.keys())
      if (!services.has(service)) this.pressedSince.delete(service);
    for (const service of services)
      if (!this.pressedSince.has(service)) this.pressedSince.set(service, now);
    return waiting;
  }

  private reportOf(
    waiting: readonly ServiceWaitingWork[],
    now: number,
  ): PressureReport {
    const {moveMilliseconds} = this.parts.settings.limits;
    return {
      term: this.term,
      sequence: ++this.sequence,
      wallMilliseconds: this.parts.clock.wallMilliseconds(),
      daemons: this.daemons,
      services: waiting.map(one => ({
        ...measurePressure(one, this.source, moveMilliseconds, now),
        pressedMilliseconds: now - (this.pressedSince.get(one.service) ?? now),
      })),
      queues: waiting.length > 0 ? runTimeRatios(this.demand.snapshot()) : [],
    };
  }

  private async publish(report: PressureReport): Promise<void> {
    const {log, metrics} = this.parts;
    this.isInFlight = true;
    const result = await log.append(LogStream.Pressure, [
      {key: PRESSURE_KEY, value: encodePressureReport(report)},
    ]);
    this.isInFlight = false;
    const {outcome} = result;
    metrics.increment(MetricName.PressureReports, {outcome});
    if (outcome !== AppendOutcome.Appended) this.noteDropped(report, outcome);
    this.lastOutcome = outcome;
  }

  /** Logs the first of several reports that are dropped one after the other. */
  private noteDropped(report: PressureReport, outcome: AppendOutcome): void {
    if (this.lastOutcome !== AppendOutcome.Appended) return;
    this.parts.logger.warn(LogEvent.PressureReportDropped, {
      term: this.term,
      sequence: report.sequence,
      outcome,
    });
  }

  private noteChange(isPressed: boolean): void {
    if (isPressed === this.wasPressed) return;
    this.wasPressed = isPressed;
    const event = isPressed ? LogEvent.PressureBegan : LogEvent.PressureOver;
    this.parts.logger.info(event, {
      term: this.term,
      sequence: this.sequence + 1,
    });
  }
}

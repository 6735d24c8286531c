import {
  decodePressureReport,
  type PressureReport,
  type ReportReading,
} from '@gentiandoor/admission';
import type {KeyedRecord} from '@gentiandoor/jobs';
import {
  LogEvent,
  MetricName,
  sleep,
  supervise,
  type Clock,
  type Logger,
  type Metrics,
} from '@gentiandoor/kernel';
import {LogStream, type RecordLog} from './record-log.js';
import {StreamFollower, type StreamSink} from './stream-follower.js';

/** Without pressure, each daemon reads the stream once in this time. */
const WAIT_MILLISECONDS = 3_000;
/**
 * Wait under pressure. A read that returned nothing bounds the age of the next report, so a longer
 * wait would make reports unusable that arrive at long intervals.
 */
const PRESSED_WAIT_MILLISECONDS = 300;
/** Without a report for this long, the coordinator is gone or the store does not answer it. */
const PRESSED_MILLISECONDS = 3_000;
const RETRY_MILLISECONDS = 250;

/** Receives reports; returns false for one that is not later than the last one. */
export interface ReportSink {
  noteReport(report: PressureReport, reading: ReportReading): boolean;
}

/** Why a report is ignored; a label of metrics. */
enum IgnoredReport {
  Unreadable = 'unreadable',
  NotLater = 'not_later',
}

/** Dependencies of a `PressureFollower`. */
export interface PressureFollowerParts {
  readonly log: RecordLog;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Reads the coordinator's reports at a daemon. */
export class PressureFollower implements StreamSink {
  private readonly follower: StreamFollower;
  private stopping = false;
  private pressedUntil = -Infinity;

  constructor(
    private readonly parts: PressureFollowerParts,
    private readonly sink: ReportSink,
  ) {
    const {log, clock, logger} = parts;
    this.follower = new StreamFollower(
      log,
      LogStream.Pressure,
      this,
      clock,
      logger,
      {skipsHistory: true},
    );
  }

  start(): void {
    void supervise({
      ...this.parts,
      name: 'pressure reports',
      isStopped: () => this.stopping,
      run: () => this.run(),
    });
  }

  stop(): void {
    this.stopping = true;
  }

  apply(record: KeyedRecord): void {
    const report = decode(record);
    if (!report) {
      this.noteIgnored(IgnoredReport.Unreadable);
      return;
    }
    const {clock} = this.parts;
    const isLater = this.sink.noteReport(report, {
      monotonicMilliseconds: clock.monotonicMilliseconds(),
      wallMilliseconds: clock.wallMilliseconds(),
      sinceEarlierReadMilliseconds: this.follower.ageMilliseconds,
    });
    if (!isLater) this.noteIgnored(IgnoredReport.NotLater, report);
    else
      this.pressedUntil =
        report.services.length > 0
          ? clock.monotonicMilliseconds() + PRESSED_MILLISECONDS
          : -Infinity;
  }

  private get waitMilliseconds(): number {
    const now = this.parts.clock.monotonicMilliseconds();
    return now < this.pressedUntil
      ? PRESSED_WAIT_MILLISECONDS
      : WAIT_MILLISECONDS;
  }

  private async run(): Promise<void> {
    while (!this.stopping) {
      const succeeded = await this.follower.follow(this.waitMilliseconds);
      if (!succeeded) await sleep(this.parts.clock, RETRY_MILLISECONDS);
    }
  }

  private noteIgnored(reason: IgnoredReport, report?: PressureReport): void {
    this.parts.metrics.increment(MetricName.PressureReportsIgnored, {reason});
    this.parts.logger.warn(LogEvent.PressureReportIgnored, {
      reason,
      term: report?.term,
      sequence: report?.sequence,
    });
  }
}

function decode({value}: KeyedRecord): PressureReport | undefined {
  try {
    return value && decodePressureReport(value);
  } catch {
    // The caller logs it; the report before it stays in use until it is too old.
    return undefined;
  }
}

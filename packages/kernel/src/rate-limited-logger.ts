import type {Clock} from './clock.js';
import {LogEvent} from './log-events.js';
import type {LogFields, Logger} from './logger.js';

/**
 * Maximum log lines per second for each event. On most days this logs a burst of starts
 * completely; ten times as many lines would cost more processor time than the work itself.
 */
const MAXIMUM_LINES_PER_SECOND = 400;
const WINDOW_MILLISECONDS = 1_000;

interface EventWindow {
  startedAt: number;
  writtenLines: number;
  droppedLines: number;
}

/** Limits the log lines per second of each event; counts and logs how many lines were dropped. */
export class RateLimitedLogger implements Logger {
  private readonly windows = new Map<LogEvent, EventWindow>();

  constructor(
    private readonly inner: Logger,
    private readonly clock: Clock,
    private readonly maximumLinesPerSecond = MAXIMUM_LINES_PER_SECOND,
  ) {}

  debug(event: LogEvent, fields?: LogFields): void {
    if (this.countAndAllow(event)) this.inner.debug(event, fields);
  }

  info(event: LogEvent, fields?: LogFields): void {
    if (this.countAndAllow(event)) this.inner.info(event, fields);
  }

  warn(event: LogEvent, fields?: LogFields): void {
    if (this.countAndAllow(event)) this.inner.warn(event, fields);
  }

  error(event: LogEvent, fields?: LogFields): void {
    if (this.countAndAllow(event)) this.inner.error(event, fields);
  }

  private countAndAllow(event: LogEvent): boolean {
    const now = this.clock.monotonicMilliseconds();
    let window = this.windows.get(event);
    if (!window || now - window.startedAt >= WINDOW_MILLISECONDS) {
      if (window && window.droppedLines > 0)
        this.logDroppedLines(event, window.droppedLines);
      window = {startedAt: now, writtenLines: 0, droppedLines: 0};
      this.windows.set(event, window);
    }
    if (window.writtenLines < this.maximumLinesPerSecond) {
      window.writtenLines++;
      return true;
    }
    window.droppedLines++;
    return false;
  }

  private logDroppedLines(event: LogEvent, count: number): void {
    this.inner.warn(LogEvent.LinesLeftOut, {of: LogEvent[event], count});
  }
}

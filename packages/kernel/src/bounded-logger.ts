import type {Clock} from './clock.js';
import {LogEvent} from './log-events.js';
import type {LogFields, Logger} from './logger.js';

/** Lines of one event a second. A burst of starts stays whole on most days; ten times as many would cost more processor time than the work itself. */
const LINES_A_SECOND = 400;
const WINDOW_MILLISECONDS = 1_000;

interface EventWindow {
  began: number;
  written: number;
  leftOut: number;
}

/** Bounds the lines of each event; what is left out is counted and told. */
export class BoundedLogger implements Logger {
  private readonly windows = new Map<LogEvent, EventWindow>();

  constructor(
    private readonly inner: Logger,
    private readonly clock: Clock,
    private readonly linesASecond = LINES_A_SECOND,
  ) {}

  debug(event: LogEvent, fields?: LogFields): void {
    if (this.admits(event)) this.inner.debug(event, fields);
  }

  info(event: LogEvent, fields?: LogFields): void {
    if (this.admits(event)) this.inner.info(event, fields);
  }

  warn(event: LogEvent, fields?: LogFields): void {
    if (this.admits(event)) this.inner.warn(event, fields);
  }

  error(event: LogEvent, fields?: LogFields): void {
    if (this.admits(event)) this.inner.error(event, fields);
  }

  private admits(event: LogEvent): boolean {
    const now = this.clock.monotonicMilliseconds();
    let window = this.windows.get(event);
    if (!window || now - window.began >= WINDOW_MILLISECONDS) {
      if (window && window.leftOut > 0) this.tellLeftOut(event, window.leftOut);
      window = {began: now, written: 0, leftOut: 0};
      this.windows.set(event, window);
    }
    if (window.written < this.linesASecond) {
      window.written++;
      return true;
    }
    window.leftOut++;
    return false;
  }

  private tellLeftOut(event: LogEvent, count: number): void {
    this.inner.warn(LogEvent.LinesLeftOut, {of: LogEvent[event], count});
  }
}

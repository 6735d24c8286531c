import {pino, type DestinationStream} from 'pino';
import {LogEvent} from './log-events.js';

/** Severity of a log line. */
export enum LogLevel {
  Debug = 'debug',
  Info = 'info',
  Warn = 'warn',
  Error = 'error',
  Silent = 'silent',
}

/** Fields of a log line other than its event. */
export type LogFields = Readonly<Record<string, unknown>>;

/** Writes numbered events. */
export interface Logger {
  debug(event: LogEvent, fields?: LogFields): void;
  info(event: LogEvent, fields?: LogFields): void;
  warn(event: LogEvent, fields?: LogFields): void;
  error(event: LogEvent, fields?: LogFields): void;
}

/** Writes numbered events as JSON lines with pino. */
export class PinoLogger implements Logger {
  private readonly pino;

  constructor(
    level: LogLevel,
    base: LogFields = {},
    destination: DestinationStream = pino.destination({dest: 1, sync: false}),
  ) {
    this.pino = pino({level, base: {...base}}, destination);
  }

  debug(event: LogEvent, fields: LogFields = {}): void {
    this.pino.debug({event, ...fields}, LogEvent[event]);
  }

  info(event: LogEvent, fields: LogFields = {}): void {
    this.pino.info({event, ...fields}, LogEvent[event]);
  }

  warn(event: LogEvent, fields: LogFields = {}): void {
    this.pino.warn({event, ...fields}, LogEvent[event]);
  }

  error(event: LogEvent, fields: LogFields = {}): void {
    this.pino.error({event, ...fields}, LogEvent[event]);
  }
}

/** Discards all events; for tests. */
export class SilentLogger implements Logger {
  debug(): void {}
  info(): void {}
  warn(): void {}
  error(): void {}
}

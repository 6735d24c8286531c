import {PlatformLogFailure, PlatformLogError} from '@gentiandoor/kernel';

/** Names of the streams that the system keeps in the platform's log. */
export enum StreamName {
  /** Bundles, members, ownership, drains, waves, jobs: one order for all that is agreed. */
  Fleet = 'fleet',
  /** Claims of idempotency keys: high volume, its own order. */
  Claims = 'claims',
  /** Snapshots of the fleet's folded state. */
  Snapshots = 'snapshots',
}

/** A stretch of a stream as read. */
export interface LogBatch {
  /** Offset of the first payload. */
  readonly from: number;
  readonly payloads: readonly Uint8Array[];
  /** The offset that the next append would get, as the log saw it when it answered. */
  readonly end: number;
  /** The oldest offset still kept. */
  readonly oldest: number;
}

/** Where an append landed. */
export interface AppendPosition {
  readonly firstOffset: number;
}

/**
 * The platform's append-only log. Every method throws `PlatformLogError`:
 * after `LogFailure.NoAnswer` an append may have taken effect.
 */
export interface PlatformLog {
  append(
    stream: StreamName,
    payloads: readonly Uint8Array[],
    signal?: AbortSignal,
  ): Promise<AppendPosition>;
  /** Waits up to `waitMilliseconds` for a record at `from`; an empty batch when none came. */
  read(
    stream: StreamName,
    from: number,
    options: ReadOptions,
    signal?: AbortSignal,
  ): Promise<LogBatch>;
}

/** Bounds of one read. */
export interface ReadOptions {
  /** Most records of one answer. */
  readonly limit: number;
  /** Longest wait for a first record, in milliseconds. */
  readonly waitMilliseconds: number;
}

/** The offset asked for is no longer kept. */
export class LogGapError extends PlatformLogError {
  constructor(
    /** The oldest offset still kept. */
    readonly oldest: number,
  ) {
    super(PlatformLogFailure.Gap, `the oldest offset still kept is ${oldest}`);
  }
}

/** A record that was not appended and will not be; says when to come again. */
export class AppendRefusedError extends PlatformLogError {
  constructor(
    message: string,
    readonly retryAfterMilliseconds: number,
    options?: ErrorOptions,
  ) {
    super(PlatformLogFailure.Refused, message, options);
  }
}

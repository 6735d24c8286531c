import {PlatformLogFailure, PlatformLogError} from '@gentiandoor/kernel';

/** Names of the system's streams in the platform's log. */
export enum StreamName {
  /** Bundles, members, ownership, drains, waves and jobs: all agreed state in one order. */
  Fleet = 'fleet',
  /** Claims of idempotency keys: high volume, ordered independently of the fleet stream. */
  Claims = 'claims',
  /** Snapshots of the folded state of the fleet stream. */
  Snapshots = 'snapshots',
}

/** Consecutive records of a stream, as returned by one read. */
export interface LogBatch {
  /** Offset of the first payload. */
  readonly from: number;
  readonly payloads: readonly Uint8Array[];
  /** Offset that the next append would get, at the time of the log's response. */
  readonly end: number;
  /** The oldest offset still kept. */
  readonly oldest: number;
}

/** Position of an append in its stream. */
export interface AppendPosition {
  readonly firstOffset: number;
}

/**
 * The platform's append-only log. Every method throws `PlatformLogError` on failure; after
 * `PlatformLogFailure.NoResponse` an append may have taken effect.
 */
export interface PlatformLog {
  append(
    stream: StreamName,
    payloads: readonly Uint8Array[],
    signal?: AbortSignal,
  ): Promise<AppendPosition>;
  /**
   * Waits up to `waitMilliseconds` for a record at `from`; returns an empty batch if there is
   * none.
   */
  read(
    stream: StreamName,
    from: number,
    options: ReadOptions,
    signal?: AbortSignal,
  ): Promise<LogBatch>;
}

/** Limits of one read. */
export interface ReadOptions {
  /** Maximum records in one response. */
  readonly limit: number;
  /** Maximum wait for the first record, in milliseconds. */
  readonly waitMilliseconds: number;
}

/** Thrown when the log no longer keeps the requested offset. */
export class LogGapError extends PlatformLogError {
  constructor(
    /** The oldest offset still kept. */
    readonly oldest: number,
  ) {
    super(PlatformLogFailure.Gap, `the oldest offset still kept is ${oldest}`);
  }
}

/** Thrown for a record that was not appended and will not be; says when to retry. */
export class AppendRefusedError extends PlatformLogError {
  constructor(
    message: string,
    readonly retryAfterMilliseconds: number,
    options?: ErrorOptions,
  ) {
    super(PlatformLogFailure.Refused, message, options);
  }
}

import {
  PlatformLogFailure,
  PlatformLogError,
  type Clock,
} from '@gentiandoor/kernel';
import {
  LogGapError,
  type AppendPosition,
  type LogBatch,
  type PlatformLog,
  type ReadOptions,
  type StreamName,
} from '@gentiandoor/shared-state';

/** Faults of the log; tests add them to `faults`. */
export enum LogFault {
  /** Every call fails. */
  Outage = 'outage',
  /** Appends take effect, but their responses are lost. */
  LostResponses = 'lost_answers',
}

/** Limits of the log. */
export interface MemoryLogOptions {
  /** Maximum number of appends within a second, over all streams. */
  readonly appendsPerSecond: number;
  /** Maximum number of records that a stream retains. */
  readonly retainedRecords: number;
}

const DEFAULT_OPTIONS: MemoryLogOptions = {
  appendsPerSecond: 500,
  retainedRecords: 1_000_000,
};

const MILLISECONDS_PER_SECOND = 1000;

class Stream {
  oldest = 0;
  readonly records: Uint8Array[] = [];
  readonly waiters = new Set<() => void>();

  get end(): number {
    return this.oldest + this.records.length;
  }
}

/** In-memory log of the platform with offsets, an append rate limit, retention and faults. */
export class MemoryLog implements PlatformLog {
  readonly faults = new Set<LogFault>();
  /** Number of accepted appends. */
  appends = 0;
  private readonly streams = new Map<string, Stream>();
  private recentAppends: number[] = [];

  constructor(
    private readonly clock: Clock,
    private readonly options: MemoryLogOptions = DEFAULT_OPTIONS,
  ) {}

  async append(
    stream: StreamName,
    payloads: readonly Uint8Array[],
  ): Promise<AppendPosition> {
    this.throwDuringOutage();
    this.countAppend();
    const target = this.stream(stream);
    const firstOffset = target.end;
    target.records.push(...payloads);
    this.enforceRetention(target);
    for (const notify of [...target.waiters]) notify();
    if (this.faults.has(LogFault.LostResponses)) {
      throw new PlatformLogError(
        PlatformLogFailure.NoResponse,
        'the response was lost',
      );
    }
    return {firstOffset};
  }

  async read(
    name: StreamName,
    from: number,
    options: ReadOptions,
    signal?: AbortSignal,
  ): Promise<LogBatch> {
    this.throwDuringOutage();
    const stream = this.stream(name);
    if (from >= stream.end && options.waitMilliseconds > 0) {
      await this.waitForRecord(stream, options.waitMilliseconds, signal);
      this.throwDuringOutage();
    }
    if (from < stream.oldest) {
      throw new LogGapError(stream.oldest);
    }
    const start = from - stream.oldest;
    return {
      from,
      payloads: stream.records.slice(start, start + options.limit),
      end: stream.end,
      oldest: stream.oldest,
    };
  }

  /** Drops the records before an offset, as if their retention time had passed. */
  expire(name: StreamName, before: number): void {
    const stream = this.stream(name);
    const count = Math.min(before, stream.end) - stream.oldest;
    if (count <= 0) return;
    stream.records.splice(0, count);
    stream.oldest += count;
  }

  /** Returns the offset of the next append to a stream. */
  endOf(name: StreamName): number {
    return this.stream(name).end;
  }

  private stream(name: string): Stream {
    const stream = this.streams.get(name) ?? new Stream();
    this.streams.set(name, stream);
    return stream;
  }

  private throwDuringOutage(): void {
    if (!this.faults.has(LogFault.Outage)) return;
    throw new PlatformLogError(
      PlatformLogFailure.Refused,
      'the log is unavailable',
    );
  }

  private countAppend(): void {
    const now = this.clock.monotonicMilliseconds();
    this.recentAppends = this.recentAppends.filter(
      at => at > now - MILLISECONDS_PER_SECOND,
    );
    if (this.recentAppends.length >= this.options.appendsPerSecond) {
      throw new PlatformLogError(
        PlatformLogFailure.Refused,
        'too many appends this second',
      );
    }
    this.recentAppends.push(now);
    this.appends++;
  }

  private enforceRetention(stream: Stream): void {
    const excess = stream.records.length - this.options.retainedRecords;
    if (excess <= 0) return;
    stream.records.splice(0, excess);
    stream.oldest += excess;
  }

  private waitForRecord(
    stream: Stream,
    milliseconds: number,
    signal?: AbortSignal,
  ): Promise<void> {
    return new Promise(resolve => {
      const finish = () => {
        stream.waiters.delete(finish);
        timer.cancel();
        signal?.removeEventListener('abort', finish);
        resolve();
      };
      const timer = this.clock.schedule(milliseconds, finish);
      stream.waiters.add(finish);
      signal?.addEventListener('abort', finish, {once: true});
    });
  }
}

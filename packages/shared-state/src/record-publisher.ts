import {
  LogFailure,
  PlatformLogError,
  sleep,
  type Clock,
} from '@gentiandoor/kernel';
import type {LogAppender} from './log-appender.js';

/** Times of a publisher. */
export interface PublisherOptions {
  /** Longest wait for a record's fate where the caller names none. */
  readonly fateMilliseconds: number;
  /** After a lost answer: the wait for the record to be read before it is appended again; doubles each time. */
  readonly settleMilliseconds: number;
}

/** Whether the stream can be read now: without reading, nothing can be learnt of a record's fate. */
export type CanRead = () => boolean;

/** Times that fit a log that answers within two seconds. */
export const DEFAULT_PUBLISHER_OPTIONS: PublisherOptions = {
  fateMilliseconds: 15_000,
  settleMilliseconds: 1000,
};

/** The longest delay that a timer takes. */
const FOREVER = 2 ** 31 - 1;

interface Judged<Outcome> {
  readonly outcome: Outcome;
}

interface AppendResult {
  /** The log has answered that the record stands. */
  readonly stands: boolean;
  /** The record was not appended and will not be. */
  readonly refusal?: PlatformLogError;
}

/**
 * Publishes records and tells their fate only from what was read back. An append whose
 * answer is lost may stand: the record is awaited, then appended again under the same id,
 * which the reader drops when it stands twice.
 */
export class RecordPublisher<Outcome> {
  private readonly awaited = new Map<string, (outcome: Outcome) => void>();

  constructor(
    private readonly clock: Clock,
    private readonly appender: LogAppender,
    private readonly canRead: CanRead,
    private readonly options: PublisherOptions = DEFAULT_PUBLISHER_OPTIONS,
  ) {}

  /** Tells the fate of a record that was read; others than the awaited are ignored. */
  settle(id: string, outcome: Outcome): void {
    this.awaited.get(id)?.(outcome);
  }

  /**
   * Resolves with what the reader made of the record. Throws `PlatformLogError`: `Refused`
   * when it was not appended and will not be; `NoAnswer` when its fate is unknown.
   */
  async publish(
    id: string,
    payload: Uint8Array,
    signal?: AbortSignal,
  ): Promise<Outcome> {
    const ended = new AbortController();
    const end = () => ended.abort();
    signal?.addEventListener('abort', end, {once: true});
    if (signal?.aborted) end();
    const timer = this.clock.schedule(this.options.fateMilliseconds, end);
    const judged = new Promise<Outcome>(resolve =>
      this.awaited.set(id, resolve),
    );
    try {
      return await this.appendUntilJudged(payload, judged, ended.signal);
    } finally {
      this.awaited.delete(id);
      signal?.removeEventListener('abort', end);
      timer.cancel();
      end();
    }
  }

  private async appendUntilJudged(
    payload: Uint8Array,
    judged: Promise<Outcome>,
    signal: AbortSignal,
  ): Promise<Outcome> {
    const read = judged.then((outcome): Judged<Outcome> => ({outcome}));
    let mayStand = false;
    let settle = this.options.settleMilliseconds;
    while (!signal.aborted) {
      // Sent again without reading, a record would only stand twice, and its fate stay unknown.
      if (mayStand && !this.canRead()) {
        const seen = await this.readWithin(read, settle, signal);
        if (seen) return seen.outcome;
        continue;
      }
      const result = await this.appendOnce(payload, read, signal);
      if ('outcome' in result) return result.outcome;
      if (result.refusal && !mayStand) throw result.refusal;
      mayStand = true;
      const wait = result.stands ? FOREVER : settle;
      settle *= 2;
      const seen = await this.readWithin(read, wait, signal);
      if (seen) return seen.outcome;
    }
    throw mayStand
      ? new PlatformLogError(
          LogFailure.NoAnswer,
          'the record was sent and not read back in time; it may still take effect',
        )
      : new PlatformLogError(
          LogFailure.Refused,
          'the record was not sent in time',
        );
  }

  /** One append; ends early when the record is read before its answer comes. */
  private async appendOnce(
    payload: Uint8Array,
    read: Promise<Judged<Outcome>>,
    signal: AbortSignal,
  ): Promise<Judged<Outcome> | AppendResult> {
    const appended = this.appender.append(payload, signal).then(
      (): AppendResult => ({stands: true}),
      (error: unknown): AppendResult => {
        if (!(error instanceof PlatformLogError)) throw error;
        const isRefused = error.failure === LogFailure.Refused;
        return {stands: false, refusal: isRefused ? error : undefined};
      },
    );
    const done = new AbortController();
    const either = AbortSignal.any([signal, done.signal]);
    const gaveUp = sleep(this.clock, FOREVER, either).then(
      (): AppendResult => ({stands: false}),
    );
    try {
      return await Promise.race([read, appended, gaveUp]);
    } finally {
      done.abort();
    }
  }

  private async readWithin(
    read: Promise<Judged<Outcome>>,
    milliseconds: number,
    signal: AbortSignal,
  ): Promise<Judged<Outcome> | undefined> {
    const done = new AbortController();
    const either = AbortSignal.any([signal, done.signal]);
    const late = sleep(this.clock, milliseconds, either).then(() => undefined);
    try {
      return await Promise.race([read, late]);
    } finally {
      done.abort();
    }
  }
}

import {
  PlatformLogFailure,
  PlatformLogError,
  sleep,
  type Clock,
} from '@gentiandoor/kernel';
import type {LogAppender} from './log-appender.js';

/** Times of a publisher. */
export interface PublisherOptions {
  /** Longest wait for a record's fate where the caller names none. */
  readonly outcomeTimeoutMilliseconds: number;
  /** After a lost answer: the wait for the record to be read before it is appended again; doubles each time. */
  readonly firstRetryMilliseconds: number;
}

/** Whether the stream can be read now: without reading, nothing can be learnt of a record's fate. */
export type IsStreamReadable = () => boolean;

/** Times that fit a log that answers within two seconds. */
export const DEFAULT_PUBLISHER_OPTIONS: PublisherOptions = {
  outcomeTimeoutMilliseconds: 15_000,
  firstRetryMilliseconds: 1000,
};

/** The longest delay that a timer takes. */
const MAXIMUM_TIMER_MILLISECONDS = 2 ** 31 - 1;

interface PublishedOutcome<Outcome> {
  readonly outcome: Outcome;
}

interface AppendResult {
  /** The log has answered that the record stands. */
  readonly isAppended: boolean;
  /** The record was not appended and will not be. */
  readonly refusal?: PlatformLogError;
}

/**
 * Publishes records and tells their fate only from what was read back. An append whose
 * answer is lost may stand: the record is awaited, then appended again under the same id,
 * which the reader drops when it stands twice.
 */
export class RecordPublisher<Outcome> {
  private readonly outcomeListeners = new Map<
    string,
    (outcome: Outcome) => void
  >();

  constructor(
    private readonly clock: Clock,
    private readonly appender: LogAppender,
    private readonly isStreamReadable: IsStreamReadable,
    private readonly options: PublisherOptions = DEFAULT_PUBLISHER_OPTIONS,
  ) {}

  /** Tells the fate of a record that was read; others than the awaited are ignored. */
  resolveOutcome(id: string, outcome: Outcome): void {
    this.outcomeListeners.get(id)?.(outcome);
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
    const timer = this.clock.schedule(
      this.options.outcomeTimeoutMilliseconds,
      end,
    );
    const judged = new Promise<Outcome>(resolve =>
      this.outcomeListeners.set(id, resolve),
    );
    try {
      return await this.appendUntilRead(payload, judged, ended.signal);
    } finally {
      this.outcomeListeners.delete(id);
      signal?.removeEventListener('abort', end);
      timer.cancel();
      end();
    }
  }

  private async appendUntilRead(
    payload: Uint8Array,
    judged: Promise<Outcome>,
    signal: AbortSignal,
  ): Promise<Outcome> {
    const read = judged.then((outcome): PublishedOutcome<Outcome> => ({
      outcome,
    }));
    let mayStand = false;
    let settle = this.options.firstRetryMilliseconds;
    while (!signal.aborted) {
      // Sent again without reading, a record would only stand twice, and its fate stay unknown.
      if (mayStand && !this.isStreamReadable()) {
        const seen = await this.waitForOutcome(read, settle, signal);
        if (seen) return seen.outcome;
        continue;
      }
      const result = await this.appendOnce(payload, read, signal);
      if ('outcome' in result) return result.outcome;
      if (result.refusal && !mayStand) throw result.refusal;
      mayStand = true;
      const wait = result.isAppended ? MAXIMUM_TIMER_MILLISECONDS : settle;
      settle *= 2;
      const seen = await this.waitForOutcome(read, wait, signal);
      if (seen) return seen.outcome;
    }
    throw mayStand
      ? new PlatformLogError(
          PlatformLogFailure.NoResponse,
          'the record was sent and not read back in time; it may still take effect',
        )
      : new PlatformLogError(
          PlatformLogFailure.Refused,
          'the record was not sent in time',
        );
  }

  /** One append; ends early when the record is read before its answer comes. */
  private async appendOnce(
    payload: Uint8Array,
    read: Promise<PublishedOutcome<Outcome>>,
    signal: AbortSignal,
  ): Promise<PublishedOutcome<Outcome> | AppendResult> {
    const appended = this.appender.append(payload, signal).then(
      (): AppendResult => ({isAppended: true}),
      (error: unknown): AppendResult => {
        if (!(error instanceof PlatformLogError)) throw error;
        const isRefused = error.failure === PlatformLogFailure.Refused;
        return {isAppended: false, refusal: isRefused ? error : undefined};
      },
    );
    const done = new AbortController();
    const either = AbortSignal.any([signal, done.signal]);
    const gaveUp = sleep(this.clock, MAXIMUM_TIMER_MILLISECONDS, either).then(
      (): AppendResult => ({isAppended: false}),
    );
    try {
      return await Promise.race([read, appended, gaveUp]);
    } finally {
      done.abort();
    }
  }

  private async waitForOutcome(
    read: Promise<PublishedOutcome<Outcome>>,
    milliseconds: number,
    signal: AbortSignal,
  ): Promise<PublishedOutcome<Outcome> | undefined> {
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

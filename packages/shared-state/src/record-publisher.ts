import {
  PlatformLogFailure,
  PlatformLogError,
  sleep,
  type Clock,
} from '@gentiandoor/kernel';
import type {LogAppender} from './log-appender.js';

/** Timeouts and delays of a publisher. */
export interface PublisherOptions {
  /** Maximum wait for the outcome of a record. */
  readonly outcomeTimeoutMilliseconds: number;
  /**
   * Wait for a record to be read back after its append got no response; then it is appended
   * again. Doubles with each append.
   */
  readonly firstRetryMilliseconds: number;
}

/** Whether the stream can be read now; without reading, the outcome of a record stays unknown. */
export type IsStreamReadable = () => boolean;

/** Options suitable for a log that responds within two seconds. */
export const DEFAULT_PUBLISHER_OPTIONS: PublisherOptions = {
  outcomeTimeoutMilliseconds: 15_000,
  firstRetryMilliseconds: 1000,
};

/** Maximum delay that a timer supports. */
const MAXIMUM_TIMER_MILLISECONDS = 2 ** 31 - 1;

interface PublishedOutcome<Outcome> {
  readonly outcome: Outcome;
}

interface AppendResult {
  /** Whether the log has confirmed the append. */
  readonly isAppended: boolean;
  /** Set if the record was not appended and will not be. */
  readonly refusal?: PlatformLogError;
}

/**
 * Publishes records and reports their outcome only from what was read back. An append whose
 * response is lost may have taken effect: the publisher waits for the record to be read, then
 * appends it again with the same id, so that the reader drops the second copy.
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

  /** Reports the outcome of a record that was read; ignored if no `publish` call waits for it. */
  resolveOutcome(id: string, outcome: Outcome): void {
    this.outcomeListeners.get(id)?.(outcome);
  }

  /**
   * Resolves with the outcome of the record, as determined by the reader. Throws a
   * `PlatformLogError`: `Refused` if it was not appended and will not be, `NoResponse` if its
   * outcome is unknown.
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
    const outcomeRead = new Promise<Outcome>(resolve =>
      this.outcomeListeners.set(id, resolve),
    );
    try {
      return await this.appendUntilRead(payload, outcomeRead, ended.signal);
    } finally {
      this.outcomeListeners.delete(id);
      signal?.removeEventListener('abort', end);
      timer.cancel();
      end();
    }
  }

  private async appendUntilRead(
    payload: Uint8Array,
    outcomeRead: Promise<Outcome>,
    signal: AbortSignal,
  ): Promise<Outcome> {
    const read = outcomeRead.then((outcome): PublishedOutcome<Outcome> => ({
      outcome,
    }));
    let mayBeAppended = false;
    let retryMilliseconds = this.options.firstRetryMilliseconds;
    while (!signal.aborted) {
      // While the stream cannot be read, appending again would only duplicate the record and its
      // outcome would stay unknown.
      if (mayBeAppended && !this.isStreamReadable()) {
        const published = await this.waitForOutcome(
          read,
          retryMilliseconds,
          signal,
        );
        if (published) return published.outcome;
        continue;
      }
      const result = await this.appendOnce(payload, read, signal);
      if ('outcome' in result) return result.outcome;
      if (result.refusal && !mayBeAppended) throw result.refusal;
      mayBeAppended = true;
      const wait = result.isAppended
        ? MAXIMUM_TIMER_MILLISECONDS
        : retryMilliseconds;
      retryMilliseconds *= 2;
      const published = await this.waitForOutcome(read, wait, signal);
      if (published) return published.outcome;
    }
    throw mayBeAppended
      ? new PlatformLogError(
          PlatformLogFailure.NoResponse,
          'the record was sent and not read back in time; it may still take effect',
        )
      : new PlatformLogError(
          PlatformLogFailure.Refused,
          'the record was not sent in time',
        );
  }

  /**
   * Appends the record once; returns early if the record is read before the append gets a
   * response.
   */
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
    const abortOrDone = AbortSignal.any([signal, done.signal]);
    const aborted = sleep(
      this.clock,
      MAXIMUM_TIMER_MILLISECONDS,
      abortOrDone,
    ).then((): AppendResult => ({isAppended: false}));
    try {
      return await Promise.race([read, appended, aborted]);
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
    const abortOrDone = AbortSignal.any([signal, done.signal]);
    const timedOut = sleep(this.clock, milliseconds, abortOrDone).then(
      () => undefined,
    );
    try {
      return await Promise.race([read, timedOut]);
    } finally {
      done.abort();
    }
  }
}

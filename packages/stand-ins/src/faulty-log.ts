import {
  PlatformLogFailure,
  PlatformLogError,
  sleep,
  type Clock,
} from '@gentiandoor/kernel';
import type {
  AppendPosition,
  LogBatch,
  PlatformLog,
  ReadOptions,
  StreamName,
} from '@gentiandoor/shared-state';

/** Faults on the connection between one daemon and the log; tests add them to `faults`. */
export enum LogConnectionFault {
  /** Calls fail before they reach the log. */
  Cut = 'cut',
  /** Calls reach the log, but their responses are lost. */
  LostResponses = 'lost_answers',
  /** Calls wait for `silenceMilliseconds` and then fail without a response. */
  Silent = 'silent',
}

/** One daemon's connection to a log, with injected delays and faults. */
export class FaultyLog implements PlatformLog {
  readonly faults = new Set<LogConnectionFault>();
  /** Delay of each direction: before a call reaches the log and before its response returns. */
  delayMilliseconds = 0;
  /** How long a call waits under `LogConnectionFault.Silent` before it fails. */
  silenceMilliseconds = 2000;

  constructor(
    private readonly log: PlatformLog,
    private readonly clock: Clock,
  ) {}

  append(
    stream: StreamName,
    payloads: readonly Uint8Array[],
    signal?: AbortSignal,
  ): Promise<AppendPosition> {
    return this.call(() => this.log.append(stream, payloads, signal), signal);
  }

  read(
    stream: StreamName,
    from: number,
    options: ReadOptions,
    signal?: AbortSignal,
  ): Promise<LogBatch> {
    return this.call(
      () => this.log.read(stream, from, options, signal),
      signal,
    );
  }

  private async call<Answer>(
    action: () => Promise<Answer>,
    signal?: AbortSignal,
  ): Promise<Answer> {
    await this.applyFaults(signal);
    const response = await action();
    await this.applyFaults(signal);
    if (!this.faults.has(LogConnectionFault.LostResponses)) return response;
    throw new PlatformLogError(
      PlatformLogFailure.NoResponse,
      'the response was lost',
    );
  }

  private async applyFaults(signal?: AbortSignal): Promise<void> {
    if (this.delayMilliseconds > 0)
      await sleep(this.clock, this.delayMilliseconds, signal);
    if (this.faults.has(LogConnectionFault.Silent)) {
      await sleep(this.clock, this.silenceMilliseconds, signal);
      throw new PlatformLogError(
        PlatformLogFailure.NoResponse,
        'no response received',
      );
    }
    if (this.faults.has(LogConnectionFault.Cut))
      throw new PlatformLogError(
        PlatformLogFailure.Refused,
        'the log is unreachable',
      );
  }
}

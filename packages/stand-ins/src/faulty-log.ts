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

/** Faults on the way between one daemon and the log, switched on by name. */
export enum LogConnectionFault {
  /** Calls are refused: nothing reaches the log. */
  Cut = 'cut',
  /** Calls go through, answers do not come back. */
  LostResponses = 'lost_answers',
  /** Calls get no answer until the path is asked to let go. */
  Silent = 'silent',
}

/** One daemon's way to a log. */
export class FaultyLog implements PlatformLog {
  readonly faults = new Set<LogConnectionFault>();
  /** Added to each call, before it reaches the log and again before its answer comes. */
  delayMilliseconds = 0;
  /** Calls that a silent path holds until this time runs out. */
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
    await this.pass(signal);
    const answer = await action();
    await this.pass(signal);
    if (!this.faults.has(LogConnectionFault.LostResponses)) return answer;
    throw new PlatformLogError(
      PlatformLogFailure.NoResponse,
      'the answer was lost',
    );
  }

  private async pass(signal?: AbortSignal): Promise<void> {
    if (this.delayMilliseconds > 0)
      await sleep(this.clock, this.delayMilliseconds, signal);
    if (this.faults.has(LogConnectionFault.Silent)) {
      await sleep(this.clock, this.silenceMilliseconds, signal);
      throw new PlatformLogError(
        PlatformLogFailure.NoResponse,
        'no answer came',
      );
    }
    if (this.faults.has(LogConnectionFault.Cut))
      throw new PlatformLogError(
        PlatformLogFailure.Refused,
        'the log is cut off',
      );
  }
}

import {PlatformLogFailure, PlatformLogError} from '@gentiandoor/kernel';
import type {
  AppendPosition,
  LogBatch,
  PlatformLog,
  ReadOptions,
  StreamName,
} from '@gentiandoor/shared-state';

/** Result of an append, as a test injects it. */
export enum InjectedAppendResult {
  Succeeded = 'answered',
  /** The append takes effect, but the response is lost. */
  ResponseLost = 'answer_lost',
  /** No response; the append takes effect when `applyDelayed` is called. */
  Delayed = 'delayed',
  /** No response; takes effect now and once more when `applyDelayed` is called. */
  Duplicated = 'doubled',
  /** No response and no effect. */
  Dropped = 'dropped',
}

interface DelayedAppend {
  readonly stream: StreamName;
  readonly payloads: readonly Uint8Array[];
}

/** One daemon's connection to the log, with injected faults. */
export class FaultyLog implements PlatformLog {
  /** Results of the next appends; later appends succeed. */
  readonly nextAppendResults: InjectedAppendResult[] = [];
  /** True while this daemon cannot reach the log. */
  isUnreachable = false;
  private readonly delayed: DelayedAppend[] = [];

  constructor(
    private readonly log: PlatformLog,
    private readonly waitForStep: (
      step: string,
    ) => Promise<void> = async () => {},
  ) {}

  async append(
    stream: StreamName,
    payloads: readonly Uint8Array[],
    signal?: AbortSignal,
  ): Promise<AppendPosition> {
    await this.waitForStep('sends an append');
    if (this.isUnreachable) throw noResponse();
    const result =
      this.nextAppendResults.shift() ?? InjectedAppendResult.Succeeded;
    if (result === InjectedAppendResult.Succeeded) {
      const position = await this.log.append(stream, payloads, signal);
      await this.waitForStep('hears of its append');
      return position;
    }
    if (
      result === InjectedAppendResult.Delayed ||
      result === InjectedAppendResult.Duplicated
    )
      this.delayed.push({stream, payloads});
    if (
      result === InjectedAppendResult.ResponseLost ||
      result === InjectedAppendResult.Duplicated
    )
      await this.log.append(stream, payloads, signal);
    throw noResponse();
  }

  async read(
    stream: StreamName,
    from: number,
    options: ReadOptions,
    signal?: AbortSignal,
  ): Promise<LogBatch> {
    await this.waitForStep('sends a read');
    if (this.isUnreachable) throw noResponse();
    const batch = await this.log.read(stream, from, options, signal);
    await this.waitForStep('hears what was read');
    if (this.isUnreachable) throw noResponse();
    return batch;
  }

  /** Applies all delayed appends; returns their number. */
  async applyDelayed(): Promise<number> {
    const appends = this.delayed.splice(0);
    for (const {stream, payloads} of appends)
      await this.log.append(stream, payloads);
    return appends.length;
  }
}

function noResponse(): PlatformLogError {
  return new PlatformLogError(PlatformLogFailure.NoResponse, 'no answer came');
}

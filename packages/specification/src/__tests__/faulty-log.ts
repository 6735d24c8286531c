import {PlatformLogFailure, PlatformLogError} from '@gentiandoor/kernel';
import type {
  AppendPosition,
  LogBatch,
  PlatformLog,
  ReadOptions,
  StreamName,
} from '@gentiandoor/shared-state';

/** What becomes of an append. */
export enum InjectedAppendResult {
  Succeeded = 'answered',
  /** Takes effect, the answer is lost. */
  ResponseLost = 'answer_lost',
  /** No answer; takes effect when `landDelayed` is called. */
  Delayed = 'delayed',
  /** Takes effect now and again when `landDelayed` is called; no answer. */
  Duplicated = 'doubled',
  /** No answer and no effect. */
  Dropped = 'dropped',
}

interface DelayedAppend {
  readonly stream: StreamName;
  readonly payloads: readonly Uint8Array[];
}

/** One daemon's way to the log, with faults. */
export class FaultyLog implements PlatformLog {
  /** Fates of the next appends; then `Answered`. */
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
    const fate =
      this.nextAppendResults.shift() ?? InjectedAppendResult.Succeeded;
    if (fate === InjectedAppendResult.Succeeded) {
      const position = await this.log.append(stream, payloads, signal);
      await this.waitForStep('hears of its append');
      return position;
    }
    if (
      fate === InjectedAppendResult.Delayed ||
      fate === InjectedAppendResult.Duplicated
    )
      this.delayed.push({stream, payloads});
    if (
      fate === InjectedAppendResult.ResponseLost ||
      fate === InjectedAppendResult.Duplicated
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

  /** Lets everything that is still under way take effect; returns how many appends. */
  async applyDelayed(): Promise<number> {
    const landing = this.delayed.splice(0);
    for (const {stream, payloads} of landing)
      await this.log.append(stream, payloads);
    return landing.length;
  }
}

function noResponse(): PlatformLogError {
  return new PlatformLogError(PlatformLogFailure.NoResponse, 'no answer came');
}

import {LogFailure, PlatformLogError} from '@gentiandoor/kernel';
import type {
  AppendPosition,
  LogBatch,
  PlatformLog,
  ReadOptions,
  StreamName,
} from '@gentiandoor/shared-state';

/** What becomes of an append. */
export enum AppendFate {
  Answered = 'answered',
  /** Takes effect, the answer is lost. */
  AnswerLost = 'answer_lost',
  /** No answer; takes effect when `landDelayed` is called. */
  Delayed = 'delayed',
  /** Takes effect now and again when `landDelayed` is called; no answer. */
  Doubled = 'doubled',
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
  readonly fates: AppendFate[] = [];
  /** True while this daemon cannot reach the log. */
  isCut = false;
  private readonly delayed: DelayedAppend[] = [];

  constructor(
    private readonly log: PlatformLog,
    private readonly gate: (step: string) => Promise<void> = async () => {},
  ) {}

  async append(
    stream: StreamName,
    payloads: readonly Uint8Array[],
    signal?: AbortSignal,
  ): Promise<AppendPosition> {
    await this.gate('sends an append');
    if (this.isCut) throw noAnswer();
    const fate = this.fates.shift() ?? AppendFate.Answered;
    if (fate === AppendFate.Answered) {
      const position = await this.log.append(stream, payloads, signal);
      await this.gate('hears of its append');
      return position;
    }
    if (fate === AppendFate.Delayed || fate === AppendFate.Doubled)
      this.delayed.push({stream, payloads});
    if (fate === AppendFate.AnswerLost || fate === AppendFate.Doubled)
      await this.log.append(stream, payloads, signal);
    throw noAnswer();
  }

  async read(
    stream: StreamName,
    from: number,
    options: ReadOptions,
    signal?: AbortSignal,
  ): Promise<LogBatch> {
    await this.gate('sends a read');
    if (this.isCut) throw noAnswer();
    const batch = await this.log.read(stream, from, options, signal);
    await this.gate('hears what was read');
    if (this.isCut) throw noAnswer();
    return batch;
  }

  /** Lets everything that is still under way take effect; returns how many appends. */
  async landDelayed(): Promise<number> {
    const landing = this.delayed.splice(0);
    for (const {stream, payloads} of landing)
      await this.log.append(stream, payloads);
    return landing.length;
  }
}

function noAnswer(): PlatformLogError {
  return new PlatformLogError(LogFailure.NoAnswer, 'no answer came');
}

import {LogEvent, sleep, type Clock, type Logger} from '@gentiandoor/kernel';
import type {KeyedRecord} from '@gentiandoor/jobs';
import {
  AppendOutcome,
  LogStream,
  ReadOutcome,
  type RecordLog,
} from './record-log.js';
import type {LearnedDemand, ServiceDemand} from './service-demand.js';

/** What learned figures are kept with. */
export interface LearnedDemandStoreParts {
  readonly log: RecordLog;
  readonly clock: Clock;
  readonly logger: Logger;
}

const LEARNED_KEY = 'learned';
/** A successor loses at most this much of what was learned. */
const SAVE_MILLISECONDS = 2_000;

/**
 * Hands what a coordinator has learned of run times to the next one.
 * Load: coordinators that change in the middle of a turn, when daemons are restarted in turn or all lose power.
 * Without it each of them starts from callers' estimates, which are off by half: it takes jobs that can no
 * longer be in time for hopeful, and sizes pools for half of the work, until a second of runs has ended.
 */
export class LearnedDemandStore {
  private saved = '';
  private closed = false;

  constructor(
    private readonly parts: LearnedDemandStoreParts,
    private readonly demand: ServiceDemand,
  ) {}

  /** Takes over what was learned before; a store that does not answer leaves nothing to take. */
  async load(): Promise<void> {
    const result = await this.parts.log.newestByKey(LogStream.Fleet);
    if (result.outcome !== ReadOutcome.Read) return;
    const record = result.records.find(({key}) => key === LEARNED_KEY);
    if (record) this.restore(record);
  }

  start(): void {
    void this.run();
  }

  close(): void {
    this.closed = true;
  }

  private async run(): Promise<void> {
    while (!this.closed) {
      await sleep(this.parts.clock, SAVE_MILLISECONDS);
      if (!this.closed) await this.save();
    }
  }

  private async save(): Promise<void> {
    const text = JSON.stringify(this.demand.snapshot());
    if (text === this.saved) return;
    const result = await this.parts.log.append(LogStream.Fleet, [
      {key: LEARNED_KEY, value: Buffer.from(text)},
    ]);
    if (result.outcome === AppendOutcome.Appended) this.saved = text;
  }

  private restore(record: KeyedRecord): void {
    try {
      this.demand.restore(readLearned(String(record.value)));
    } catch (error) {
      this.parts.logger.warn(LogEvent.RecordUnreadable, {
        stream: LogStream.Fleet,
        key: record.key,
        error: String(error),
      });
    }
  }
}

/** Throws when a figure is missing or no number: one that spreads would make every run time unknown. */
function readLearned(text: string): LearnedDemand {
  return JSON.parse(text, (key, value: unknown) => {
    if (value === null) throw new TypeError(`${key} is not a number`);
    return value;
  }) as LearnedDemand;
}

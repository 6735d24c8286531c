import {
  LogEvent,
  sleep,
  supervise,
  type Clock,
  type Logger,
} from '@gentiandoor/kernel';
import type {KeyedRecord} from '@gentiandoor/jobs';
import {
  AppendOutcome,
  LogStream,
  ReadOutcome,
  type RecordLog,
} from './record-log.js';
import type {LearnedDemand, ServiceDemand} from './service-demand.js';

/** Dependencies of a `LearnedDemandStore`. */
export interface LearnedDemandStoreParts {
  readonly log: RecordLog;
  readonly clock: Clock;
  readonly logger: Logger;
}

const LEARNED_KEY = 'learned';
/** Save interval; the next coordinator loses at most this much of what was learned. */
const SAVE_MILLISECONDS = 2_000;

/**
 * Passes the run times that a coordinator has learned on to the next one.
 * Load: the coordinator changes during a load peak, when daemons are restarted one after the other
 * or all lose power. Without it, each new coordinator starts from the callers' estimates, which are
 * off by half: until a second of runs has ended, it treats jobs that can no longer be in time as if
 * they could, and sizes pools for half of the work.
 */
export class LearnedDemandStore {
  private savedText = '';
  private closed = false;

  constructor(
    private readonly parts: LearnedDemandStoreParts,
    private readonly demand: ServiceDemand,
  ) {}

  /** Loads what earlier coordinators learned; starts without it if the store does not respond. */
  async load(): Promise<void> {
    const result = await this.parts.log.newestByKey(LogStream.Fleet);
    if (result.outcome !== ReadOutcome.Read) return;
    const record = result.records.find(({key}) => key === LEARNED_KEY);
    if (record) this.restore(record);
  }

  start(): void {
    void supervise({
      ...this.parts,
      name: 'learned figures',
      isStopped: () => this.closed,
      run: () => this.run(),
    });
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
    if (text === this.savedText) return;
    const result = await this.parts.log.append(LogStream.Fleet, [
      {key: LEARNED_KEY, value: Buffer.from(text)},
    ]);
    if (result.outcome === AppendOutcome.Appended) this.savedText = text;
  }

  private restore(record: KeyedRecord): void {
    try {
      this.demand.restore(parseLearned(String(record.value)));
    } catch (error) {
      this.parts.logger.warn(LogEvent.RecordUnreadable, {
        stream: LogStream.Fleet,
        key: record.key,
        error: String(error),
      });
    }
  }
}

/**
 * Parses stored figures, without those of queues that have an invalid one. JSON stores NaN as null,
 * which would propagate and make run times unknown.
 */
function parseLearned(text: string): LearnedDemand {
  const learned = JSON.parse(text) as LearnedDemand;
  if (!hasNumbersOnly(learned.startDelay))
    throw new TypeError('the start delay is not a number');
  return {
    startDelay: learned.startDelay,
    durations: withNumbersOnly(learned.durations),
    spreads: withNumbersOnly(learned.spreads),
    work: withNumbersOnly(learned.work),
  };
}

function withNumbersOnly<Snapshot extends object>(
  byQueue: ReadonlyArray<[string, Snapshot]>,
): Array<[string, Snapshot]> {
  return byQueue.filter(([, snapshot]) => hasNumbersOnly(snapshot));
}

function hasNumbersOnly(snapshot: object): boolean {
  return Object.values(snapshot).every(Number.isFinite);
}

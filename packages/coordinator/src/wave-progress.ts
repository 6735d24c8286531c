import {LogEvent, type Clock, type Logger} from '@gentiandoor/kernel';
import type {KeyedRecord} from '@gentiandoor/jobs';
import {FencedWriter} from './fenced-writer.js';
import {LatestStateWriter} from './latest-state-writer.js';
import {WaveState, type MaintenanceWave} from './operator-records.js';
import type {RecordFormats} from './record-formats.js';
import {LogStream, ReadOutcome, type RecordLog} from './record-log.js';

/** Dependencies of wave progress. */
export interface WaveProgressParts {
  readonly log: RecordLog;
  readonly formats: RecordFormats;
  readonly clock: Clock;
  readonly logger: Logger;
}

interface StoredWave {
  /** Wall-clock time at which a coordinator first saw the wave. */
  readonly seenAt: number;
  readonly done: readonly string[];
}

const WRITER = 'waves';
const RETRY_MILLISECONDS = 200;
/** Matches the number of a wave; other keys of the stream belong to other records. */
const WAVE_KEY = /^\d+$/;

/**
 * Tracks which VMs of which waves have had their maintenance, and stores it. The first write of a
 * term fences the earlier ones.
 */
export class WaveProgress {
  private readonly done = new Map<number, Set<string>>();
  private readonly seenAt = new Map<number, number>();
  private readonly reported = new Map<number, WaveState>();
  private readonly writer: FencedWriter;
  private readonly reportWriter: FencedWriter;
  private readonly stored: LatestStateWriter<number>;
  private readonly reports: LatestStateWriter<number>;
  private loaded = false;

  constructor(
    private readonly term: number,
    private readonly parts: WaveProgressParts,
    /** Called when the store reports that a later term has written. */
    private readonly onFenced: () => void,
  ) {
    this.writer = this.newWriter(LogStream.Fleet);
    this.reportWriter = this.newWriter(LogStream.Reports);
    this.stored = new LatestStateWriter({
      ...parts,
      name: 'wave progress',
      writer: this.writer,
      encode: number => this.progressRecord(number),
    });
    this.reports = new LatestStateWriter({
      ...parts,
      name: 'wave reports',
      writer: this.reportWriter,
      encode: number => this.reportRecord(number),
    });
  }

  get isLoaded(): boolean {
    return this.loaded;
  }

  /** Loads the stored progress once. */
  async load(): Promise<void> {
    if (this.loaded) return;
    const result = await this.parts.log.newestByKey(LogStream.Fleet);
    if (result.outcome !== ReadOutcome.Read) return;
    for (const record of result.records)
      if (WAVE_KEY.test(record.key)) this.restore(record);
    this.loaded = true;
  }

  /** Nothing more is stored or reported, apart from a write that is under way. */
  close(): void {
    this.writer.close();
    this.reportWriter.close();
  }

  isDone(wave: MaintenanceWave, vm: string): boolean {
    return this.doneOf(wave).has(vm);
  }

  isCompleted(wave: MaintenanceWave): boolean {
    const done = this.doneOf(wave);
    const completed = wave.vms.every(vm => done.has(vm));
    const state = completed ? WaveState.Completed : WaveState.Running;
    if (this.reported.get(wave.number) !== state) {
      this.reported.set(wave.number, state);
      if (completed)
        this.parts.logger.info(LogEvent.WaveCompleted, {wave: wave.number});
      this.reports.store(wave.number);
    }
    return completed;
  }

  /**
   * Returns the remaining time of the wave, by the wall clock of the coordinator that
   * first saw it.
   */
  leftMilliseconds(wave: MaintenanceWave): number {
    const now = this.parts.clock.wallMilliseconds();
    const seenAt = this.seenAt.get(wave.number) ?? now;
    return wave.durationMilliseconds - (now - seenAt);
  }

  noteDone(wave: MaintenanceWave, vm: string): void {
    this.doneOf(wave).add(vm);
    this.stored.store(wave.number);
  }

  private doneOf(wave: MaintenanceWave): Set<string> {
    let done = this.done.get(wave.number);
    if (!done) {
      done = new Set();
      this.done.set(wave.number, done);
      this.seenAt.set(wave.number, this.parts.clock.wallMilliseconds());
      this.stored.store(wave.number);
    }
    return done;
  }

  private restore(record: KeyedRecord): void {
    const number = Number(record.key);
    try {
      const stored = readStoredWave(record.value?.toString('utf8') ?? '');
      this.done.set(number, new Set(stored.done));
      this.seenAt.set(
        number,
        Math.min(stored.seenAt, this.parts.clock.wallMilliseconds()),
      );
    } catch (error) {
      this.parts.logger.warn(LogEvent.RecordUnreadable, {
        stream: LogStream.Fleet,
        key: record.key,
        error: String(error),
      });
    }
  }

  private newWriter(stream: LogStream): FencedWriter {
    return new FencedWriter({
      ...this.parts,
      stream,
      name: WRITER,
      term: this.term,
      retryMilliseconds: RETRY_MILLISECONDS,
      onFenced: () => this.onFenced(),
    });
  }

  private progressRecord(number: number): KeyedRecord {
    const value: StoredWave = {
      seenAt: this.seenAt.get(number) ?? 0,
      done: [...(this.done.get(number) ?? [])],
    };
    return {key: String(number), value: Buffer.from(JSON.stringify(value))};
  }

  private reportRecord(number: number): KeyedRecord {
    const state = this.reported.get(number) ?? WaveState.Running;
    return this.parts.formats.waveReport(number, state);
  }
}

/** Decodes a stored wave; throws if it is unreadable. */
function readStoredWave(text: string): StoredWave {
  const {seenAt, done} = JSON.parse(text) as Partial<StoredWave>;
  if (typeof seenAt !== 'number' || !Number.isFinite(seenAt))
    throw new TypeError('seenAt is missing or not a number');
  if (!Array.isArray(done) || !done.every(vm => typeof vm === 'string'))
    throw new TypeError('done is missing or not a list of names');
  return {seenAt, done};
}

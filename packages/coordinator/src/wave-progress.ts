import {LogEvent, sleep, type Clock, type Logger} from '@gentiandoor/kernel';
import type {KeyedRecord} from '@gentiandoor/jobs';
import {WaveState, type MaintenanceWave} from './operator-records.js';
import type {RecordFormats} from './record-formats.js';
import {
  AppendOutcome,
  LogStream,
  ReadOutcome,
  type RecordLog,
} from './record-log.js';

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

const RETRY_MILLISECONDS = 200;
/** Matches the number of a wave; other keys of the stream belong to other records. */
const WAVE_KEY = /^\d+$/;

/** Tracks which VMs of which waves have had their maintenance, and stores it. */
export class WaveProgress {
  private readonly done = new Map<number, Set<string>>();
  private readonly seenAt = new Map<number, number>();
  private readonly reported = new Map<number, WaveState>();
  private readonly writing = new Set<number>();
  private loaded = false;

  constructor(private readonly parts: WaveProgressParts) {}

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
      void this.report(wave.number, state);
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
    void this.save(wave.number);
  }

  private doneOf(wave: MaintenanceWave): Set<string> {
    let done = this.done.get(wave.number);
    if (!done) {
      done = new Set();
      this.done.set(wave.number, done);
      this.seenAt.set(wave.number, this.parts.clock.wallMilliseconds());
      void this.save(wave.number);
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

  /**
   * Stores the newest progress; changes made while a write is in flight go into the next
   * one.
   */
  private async save(number: number): Promise<void> {
    if (this.writing.has(number)) return;
    this.writing.add(number);
    let storedCount = -1;
    const done = this.done.get(number) ?? new Set<string>();
    while (storedCount < done.size) {
      const size = done.size;
      const value: StoredWave = {
        seenAt: this.seenAt.get(number) ?? 0,
        done: [...done],
      };
      const result = await this.parts.log.append(LogStream.Fleet, [
        {key: String(number), value: Buffer.from(JSON.stringify(value))},
      ]);
      if (result.outcome === AppendOutcome.Appended) storedCount = size;
      else await sleep(this.parts.clock, RETRY_MILLISECONDS);
    }
    this.writing.delete(number);
  }

  private async report(number: number, state: WaveState): Promise<void> {
    const record = this.parts.formats.waveReport(number, state);
    while (this.reported.get(number) === state) {
      const result = await this.parts.log.append(LogStream.Reports, [record]);
      if (result.outcome === AppendOutcome.Appended) return;
      await sleep(this.parts.clock, RETRY_MILLISECONDS);
    }
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

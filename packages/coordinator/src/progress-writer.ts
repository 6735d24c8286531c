import {sleep, type Clock} from '@gentiandoor/kernel';
import {
  JobRecordKind,
  encodeJobRecord,
  type JobExecution,
  type KeyedRecord,
} from '@gentiandoor/jobs';
import {AppendOutcome, LogStream, type RecordLog} from './record-log.js';

const WRITER = 'coordinator';
const RETRY_MILLISECONDS = 60;
const MAXIMUM_BATCH_BYTES = 1_000_000;

/** Called once the progress noted before it is stored. */
export type StoredAction = () => void;

/**
 * Stores the progress of jobs, one append at a time, under the coordinator's term. Starts
 * of runs wait for it, so that the next coordinator knows every run that may be alive.
 * Acknowledgements of run ends wait too, because a worker forgets the ends that are
 * acknowledged.
 */
export class ProgressWriter {
  private dirty = new Set<JobExecution>();
  private actions: StoredAction[] = [];
  private tombstones: KeyedRecord[] = [];
  private sequence = 0;
  private running = false;
  private closed = false;
  /** Since when some progress or action waits; undefined if none does. */
  private waitingSince: number | undefined;

  constructor(
    private readonly log: RecordLog,
    private readonly clock: Clock,
    private readonly term: number,
    /** Called when the store reports that a later term has written. */
    private readonly fenced: () => void,
  ) {}

  /**
   * Fences all writers of earlier terms. Resolves to false if this writer is fenced
   * itself or was closed.
   */
  async fenceEarlierTerms(): Promise<boolean> {
    while (!this.closed) {
      const result = await this.log.append(LogStream.Jobs, [], {
        writer: {name: WRITER, term: this.term, sequence: 0},
      });
      if (result.outcome === AppendOutcome.Appended) return true;
      if (result.outcome === AppendOutcome.Fenced) return false;
      if (result.outcome === AppendOutcome.OutOfSequence) return true;
      await sleep(this.clock, RETRY_MILLISECONDS);
    }
    return false;
  }

  /** How long progress has waited to be stored; 0 if none waits. */
  get waitMilliseconds(): number {
    if (this.waitingSince === undefined) return 0;
    return this.clock.monotonicMilliseconds() - this.waitingSince;
  }

  /** Stores the current progress of `execution`, then calls `then`. */
  store(execution: JobExecution, then?: StoredAction): void {
    this.dirty.add(execution);
    if (then) this.actions.push(then);
    this.wake();
  }

  /** Calls `then` once all progress noted so far is stored. */
  afterStored(then: StoredAction): void {
    if (this.dirty.size === 0 && !this.running) then();
    else this.actions.push(then);
  }

  /** Appends tombstones, which delete their keys from the store. */
  appendTombstones(records: readonly KeyedRecord[]): void {
    this.tombstones.push(...records);
    this.wake();
  }

  close(): void {
    this.closed = true;
  }

  private wake(): void {
    if (!this.running && !this.closed) void this.run();
  }

  private async run(): Promise<void> {
    this.running = true;
    this.waitingSince = this.clock.monotonicMilliseconds();
    // Changes made in the same turn of the event loop go into one append.
    await new Promise<void>(resolve => {
      setImmediate(resolve);
    });
    while (!this.closed && this.hasWork()) {
      const {records, actions} = this.takeBatch();
      if (!(await this.append(records))) break;
      this.waitingSince = this.clock.monotonicMilliseconds();
      for (const action of actions) action();
    }
    this.running = false;
    this.waitingSince = undefined;
  }

  private hasWork(): boolean {
    return (
      this.dirty.size > 0 ||
      this.tombstones.length > 0 ||
      this.actions.length > 0
    );
  }

  private takeBatch(): {records: KeyedRecord[]; actions: StoredAction[]} {
    const records = this.tombstones;
    this.tombstones = [];
    let bytes = 0;
    for (const execution of this.dirty) {
      const record = encodeJobRecord({
        kind: JobRecordKind.Progress,
        jobId: execution.job.id,
        progress: execution.progress,
      });
      bytes += record.value?.length ?? 0;
      if (records.length > 0 && bytes > MAXIMUM_BATCH_BYTES) break;
      records.push(record);
      this.dirty.delete(execution);
    }
    if (this.dirty.size > 0) return {records, actions: []};
    const actions = this.actions;
    this.actions = [];
    return {records, actions};
  }

  private async append(records: readonly KeyedRecord[]): Promise<boolean> {
    if (records.length === 0) return true;
    this.sequence++;
    while (!this.closed) {
      const result = await this.log.append(LogStream.Jobs, records, {
        writer: {name: WRITER, term: this.term, sequence: this.sequence},
      });
      switch (result.outcome) {
        case AppendOutcome.Appended:
          return true;
        case AppendOutcome.Fenced:
          this.close();
          this.fenced();
          return false;
        case AppendOutcome.OutOfSequence:
          this.sequence = result.expected;
          break;
        default:
          await sleep(this.clock, RETRY_MILLISECONDS);
      }
    }
    return false;
  }
}

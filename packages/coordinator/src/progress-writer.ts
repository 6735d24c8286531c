import {
  LogEvent,
  logTaskFailure,
  sleep,
  type Clock,
  type Logger,
} from '@gentiandoor/kernel';
import {
  JobRecordKind,
  encodeJobRecord,
  type JobExecution,
  type KeyedRecord,
  type ProgressEncoding,
} from '@gentiandoor/jobs';
import {FencedWriter} from './fenced-writer.js';
import {AppendOutcome, LogStream, type RecordLog} from './record-log.js';

const WRITER = 'coordinator';
const RETRY_MILLISECONDS = 60;
const MAXIMUM_BATCH_BYTES = 1_000_000;

/** Called once the progress noted before it is stored. */
export type StoredAction = () => void;

/** Is notified of progress that the store does not take. */
export interface ProgressHost {
  /** Called when the store reports that a later term has written. */
  onFenced(): void;
  /** Ends a job whose progress can't be stored, so that what is left of it can be. */
  onNotStorable(execution: JobExecution): void;
}

/** A record that is to be appended. */
interface PendingRecord {
  readonly record: KeyedRecord;
  /** Undefined for a tombstone. */
  readonly execution?: JobExecution;
}

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
  private readonly writer: FencedWriter;
  private running = false;
  /** Since when some progress or action waits; undefined if none does. */
  private waitingSince: number | undefined;

  constructor(
    log: RecordLog,
    private readonly clock: Clock,
    term: number,
    private readonly host: ProgressHost,
    private readonly logger: Logger,
  ) {
    this.writer = new FencedWriter({
      log,
      clock,
      stream: LogStream.Jobs,
      name: WRITER,
      term,
      retryMilliseconds: RETRY_MILLISECONDS,
      onFenced: () => host.onFenced(),
    });
  }

  /**
   * Fences all writers of earlier terms. Resolves to false if this writer is fenced
   * itself or was closed.
   */
  async fenceEarlierTerms(): Promise<boolean> {
    while (!this.writer.isClosed) {
      if (await this.writer.fenceEarlierTerms()) return true;
      if (!this.writer.isClosed) await sleep(this.clock, RETRY_MILLISECONDS);
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
    this.writer.close();
  }

  private wake(): void {
    if (!this.running && !this.writer.isClosed) void this.run();
  }

  private async run(): Promise<void> {
    this.running = true;
    this.waitingSince = this.clock.monotonicMilliseconds();
    // Changes made in the same turn of the event loop go into one append.
    await new Promise<void>(resolve => {
      setImmediate(resolve);
    });
    while (!this.writer.isClosed && this.hasWork()) {
      const {records, actions} = this.takeBatch();
      if (!(await this.storeRecords(records))) break;
      this.waitingSince = this.clock.monotonicMilliseconds();
      for (const action of actions) this.runAction(action);
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

  /** A failure of one action must not keep the others from being called. */
  private runAction(action: StoredAction): void {
    try {
      action();
    } catch (error) {
      logTaskFailure(this.logger, 'action after storing', {}, error);
    }
  }

  private takeBatch(): {records: PendingRecord[]; actions: StoredAction[]} {
    const records: PendingRecord[] = this.tombstones.map(record => ({record}));
    this.tombstones = [];
    let bytes = 0;
    for (const execution of this.dirty) {
      const record = progressRecord(execution);
      bytes += record.value?.length ?? 0;
      if (records.length > 0 && bytes > MAXIMUM_BATCH_BYTES) break;
      records.push({record, execution});
      this.dirty.delete(execution);
    }
    if (this.dirty.size > 0) return {records, actions: []};
    const actions = this.actions;
    this.actions = [];
    return {records, actions};
  }

  /**
   * Appends records; those of a batch that the store does not take are sent one by one, since mostly
   * only one of them is at fault. Resolves to false if nothing is stored any more.
   */
  private async storeRecords(
    pending: readonly PendingRecord[],
  ): Promise<boolean> {
    if (pending.length === 0) return true;
    const outcome = await this.writer.append(pending.map(({record}) => record));
    if (outcome !== AppendOutcome.Rejected)
      return outcome === AppendOutcome.Appended;
    if (pending.length === 1) return this.storeReduced(pending[0]);
    for (const one of pending)
      if (!(await this.storeRecords([one]))) return false;
    return true;
  }

  /**
   * Stores what is left of a record that the store does not take: without checkpoints a successor
   * starts the tasks anew, and a job that has ended is recorded by its state.
   */
  private async storeReduced({
    record,
    execution,
  }: PendingRecord): Promise<boolean> {
    if (execution) {
      const options = {withoutCheckpoints: true};
      const reduced = progressRecord(execution, options);
      let outcome = await this.writer.append([reduced]);
      if (outcome === AppendOutcome.Rejected && !execution.hasEnded) {
        this.host.onNotStorable(execution);
        outcome = await this.writer.append([
          progressRecord(execution, options),
        ]);
      }
      if (outcome !== AppendOutcome.Rejected)
        return outcome === AppendOutcome.Appended;
    }
    this.logger.error(LogEvent.RecordNotStorable, {key: record.key});
    return true;
  }
}

function progressRecord(
  {job, progress}: JobExecution,
  options?: ProgressEncoding,
): KeyedRecord {
  return encodeJobRecord(
    {kind: JobRecordKind.Progress, jobId: job.id, progress},
    options,
  );
}

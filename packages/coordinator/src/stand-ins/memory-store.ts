import {
  AppendOutcome,
  ReadOutcome,
  type AppendConditions,
  type AppendResult,
  type LoggedRecord,
  type LogStream,
  type NewestByKeyResult,
  type ReadResult,
  type RecordLog,
} from '../index.js';
import type {KeyedRecord} from '@gentiandoor/jobs';
import {sleep, type Clock} from '@gentiandoor/kernel';
import {SimulatedLink} from './simulated-link.js';

/** Faults of the store that a test can inject. */
export enum StoreFault {
  /** Calls are refused and nothing is done. */
  Refusing = 'refusing',
  /** Calls get no response and nothing is done. */
  Silent = 'silent',
  /** Appends are applied but get no response. */
  AnswersLost = 'answers_lost',
  /** Appends get no response and are applied later. */
  DoneLate = 'done_late',
}

const ANSWER_MILLISECONDS = 4;
const SILENCE_MILLISECONDS = 1_500;
/** Bytes of the headers of a call and of its response. */
const CALL_BYTES = 350;
/** Delay of a late append. */
const LATE_MILLISECONDS = 3_000;

interface Writer {
  term: number;
  sequence: number;
  answers: Map<number, AppendResult>;
}

class Partition {
  /**
   * Time until which earlier appends are handled: the partition handles one at a time.
   */
  busyUntil = 0;
  readonly records: LoggedRecord[] = [];
  firstKept = 0;
  readonly writers = new Map<string, Writer>();
  readonly waiting = new Set<() => void>();
}

/** The platform's store in memory, shared by the daemons of a test. */
export class MemoryStore {
  private readonly partitions = new Map<string, Partition>();
  /** How long a partition takes to handle an append. */
  appendMilliseconds = 0;
  /** Size of a value from which on its record is rejected. */
  maximumValueBytes = Infinity;
  /** Number of calls, by kind. */
  readonly calls = {append: 0, read: 0, newest: 0};

  constructor(readonly clock: Clock) {}

  /** Returns a connection of one daemon, with faults of its own. */
  connect(link = new SimulatedLink(this.clock)): StoreConnection {
    return new StoreConnection(this, link);
  }

  /** Writes a record as an operator or a worker would. */
  write(stream: LogStream, record: KeyedRecord, partition = 0): void {
    this.append(stream, [record], {partition});
  }

  /** Discards the history of a stream; the newest record of each key remains. */
  forgetHistory(stream: LogStream): void {
    for (const [key, partition] of this.partitions)
      if (key.startsWith(`${stream}/`))
        partition.firstKept = partition.records.length;
  }

  /** Returns all records that were ever appended to a partition of a stream. */
  history(stream: LogStream, partition = 0): readonly LoggedRecord[] {
    return this.partition(stream, partition).records;
  }

  /** @internal */
  append(
    stream: LogStream,
    records: readonly KeyedRecord[],
    conditions: AppendConditions,
  ): AppendResult {
    const partition = this.partition(stream, conditions.partition);
    const {expectedEndOffset, writer} = conditions;
    const isTooLarge = ({value}: KeyedRecord) =>
      (value?.length ?? 0) > this.maximumValueBytes;
    if (records.some(isTooLarge))
      return {outcome: AppendOutcome.Rejected, reason: 'record is too large'};
    if (
      expectedEndOffset !== undefined &&
      expectedEndOffset !== partition.records.length
    )
      return {
        outcome: AppendOutcome.EndOffsetMismatch,
        endOffset: partition.records.length,
      };
    if (!writer) return this.add(partition, records);
    return this.appendAsWriter(partition, records, writer);
  }

  /**
   * @internal Returns the milliseconds until the partition has handled an append that
   * arrives now.
   */
  appendDelayMilliseconds(stream: LogStream, index = 0): number {
    const partition = this.partition(stream, index);
    const now = this.clock.monotonicMilliseconds();
    const startsAt = Math.max(now, partition.busyUntil);
    partition.busyUntil = startsAt + this.appendMilliseconds;
    return partition.busyUntil - now;
  }

  /** @internal */
  newest(stream: LogStream, index = 0): NewestByKeyResult {
    const partition = this.partition(stream, index);
    const newest = new Map<string, LoggedRecord>();
    for (const record of partition.records)
      if (record.value === undefined) newest.delete(record.key);
      else newest.set(record.key, record);
    return {
      outcome: ReadOutcome.Read,
      records: [...newest.values()],
      endOffset: partition.records.length,
    };
  }

  /** @internal */
  read(stream: LogStream, offset: number, index = 0): ReadResult {
    const partition = this.partition(stream, index);
    if (offset < partition.firstKept) return {outcome: ReadOutcome.Gap};
    return {
      outcome: ReadOutcome.Read,
      records: partition.records.slice(offset),
      endOffset: partition.records.length,
    };
  }

  /** @internal Resolves at the next append to the partition, or after the wait. */
  async nextAppend(
    stream: LogStream,
    waitMilliseconds: number,
    index = 0,
  ): Promise<void> {
    const {waiting} = this.partition(stream, index);
    await new Promise<void>(resolve => {
      const wake = () => {
        waiting.delete(wake);
        timer.cancel();
        resolve();
      };
      const timer = this.clock.schedule(waitMilliseconds, wake);
      waiting.add(wake);
    });
  }

  private appendAsWriter(
    partition: Partition,
    records: readonly KeyedRecord[],
    numbers: NonNullable<AppendConditions['writer']>,
  ): AppendResult {
    let writer = partition.writers.get(numbers.name);
    if (writer && numbers.term < writer.term)
      return {outcome: AppendOutcome.Fenced, reason: 'term'};
    if (!writer || numbers.term > writer.term) {
      writer = {
        term: numbers.term,
        sequence: numbers.sequence,
        answers: new Map(),
      };
      partition.writers.set(numbers.name, writer);
    } else {
      const before = writer.answers.get(numbers.sequence);
      if (before) return before;
      const expected = writer.sequence + 1;
      if (numbers.sequence !== expected)
        return {outcome: AppendOutcome.OutOfSequence, expected};
      writer.sequence = numbers.sequence;
    }
    const answer = this.add(partition, records);
    writer.answers.set(numbers.sequence, answer);
    return answer;
  }

  private add(
    partition: Partition,
    records: readonly KeyedRecord[],
  ): AppendResult {
    const offset = partition.records.length;
    records.forEach((record, index) =>
      partition.records.push({...record, offset: offset + index}),
    );
    for (const wake of [...partition.waiting]) wake();
    return {
      outcome: AppendOutcome.Appended,
      offset,
      endOffset: partition.records.length,
    };
  }

  private partition(stream: LogStream, index = 0): Partition {
    const key = `${stream}/${index}`;
    let partition = this.partitions.get(key);
    if (!partition) {
      partition = new Partition();
      this.partitions.set(key, partition);
    }
    return partition;
  }
}

/** The connection of one daemon to the store. */
export class StoreConnection implements RecordLog {
  private fault: StoreFault | undefined;
  private faultyStream: LogStream | undefined;
  private killed = false;

  constructor(
    private readonly store: MemoryStore,
    private readonly link: SimulatedLink,
  ) {}

  /**
   * Simulates the loss of the daemon: none of its calls is carried out or answered any
   * more.
   */
  kill(): void {
    this.killed = true;
  }

  /** Number of reads that this daemon has requested. */
  reads = 0;

  /** Response time of the store for this daemon. */
  answerMilliseconds = ANSWER_MILLISECONDS;

  /** Injects a fault, or clears all faults; `only` limits the fault to one stream. */
  setFault(fault: StoreFault | undefined, only?: LogStream): void {
    this.fault = fault;
    this.faultyStream = only;
  }

  async append(
    stream: LogStream,
    records: readonly KeyedRecord[],
    conditions: AppendConditions = {},
  ): Promise<AppendResult> {
    this.store.calls.append++;
    const fault = this.faultOf(stream);
    const {clock} = this.store;
    await this.link.carry(CALL_BYTES + bytesOf(records));
    await sleep(clock, this.answerMilliseconds);
    if (this.killed) return neverAnswered();
    if (fault === StoreFault.Refusing)
      return {outcome: AppendOutcome.Refused, reason: fault};
    if (fault === StoreFault.DoneLate)
      clock.schedule(LATE_MILLISECONDS, () =>
        this.store.append(stream, records, conditions),
      );
    if (fault === StoreFault.AnswersLost)
      this.store.append(stream, records, conditions);
    if (fault === undefined) {
      const {partition} = conditions;
      await sleep(clock, this.store.appendDelayMilliseconds(stream, partition));
      return this.store.append(stream, records, conditions);
    }
    await sleep(clock, SILENCE_MILLISECONDS);
    return {outcome: AppendOutcome.Unknown, reason: fault};
  }

  async read(
    stream: LogStream,
    offset: number,
    waitMilliseconds: number,
    partition = 0,
  ): Promise<ReadResult> {
    this.store.calls.read++;
    this.reads++;
    const failure = await this.reach(stream);
    if (failure) return failure;
    const first = this.store.read(stream, offset, partition);
    const isEmpty =
      first.outcome === ReadOutcome.Read && first.records.length === 0;
    if (!isEmpty || waitMilliseconds === 0) return this.transfer(first);
    await this.store.nextAppend(stream, waitMilliseconds, partition);
    return this.transfer(this.store.read(stream, offset, partition));
  }

  async newestByKey(
    stream: LogStream,
    partition = 0,
  ): Promise<NewestByKeyResult> {
    this.store.calls.newest++;
    const failure = await this.reach(stream);
    return failure ?? this.transfer(this.store.newest(stream, partition));
  }

  private async transfer<Result extends ReadResult | NewestByKeyResult>(
    result: Result,
  ): Promise<Result> {
    const records = 'records' in result ? result.records : [];
    await this.link.carry(CALL_BYTES + bytesOf(records));
    return result;
  }

  private faultOf(stream: LogStream): StoreFault | undefined {
    const isUnaffected = this.faultyStream && this.faultyStream !== stream;
    return isUnaffected ? undefined : this.fault;
  }

  private async reach(stream: LogStream): Promise<
    | {
        readonly outcome: ReadOutcome.Unavailable;
        readonly reason: string;
      }
    | undefined
  > {
    await sleep(this.store.clock, this.answerMilliseconds);
    if (this.killed) return neverAnswered();
    const fault = this.faultOf(stream);
    if (fault === undefined || fault === StoreFault.AnswersLost)
      return undefined;
    if (fault === StoreFault.DoneLate) return undefined;
    if (fault === StoreFault.Silent)
      await sleep(this.store.clock, SILENCE_MILLISECONDS);
    return {outcome: ReadOutcome.Unavailable, reason: fault};
  }
}

function bytesOf(records: readonly KeyedRecord[]): number {
  return records.reduce(
    (sum, {key, value}) => sum + key.length + (value?.length ?? 0),
    0,
  );
}

function neverAnswered(): Promise<never> {
  return new Promise(() => undefined);
}

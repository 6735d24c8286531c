import type {KeyedRecord} from '@gentiandoor/jobs';

/** Streams of the platform's store that the daemon reads or writes. */
export enum LogStream {
  /** What operators ask for; read only. */
  Operator = 'operator',
  /** What workers say of themselves; read only. */
  Workers = 'workers',
  /** What operators are told. */
  Reports = 'reports',
  /** Submissions and cancellations of jobs, over several partitions. */
  Submissions = 'submissions',
  /** Progress of jobs. */
  Jobs = 'jobs',
  /** Who gives the orders. */
  Terms = 'terms',
  /** What was done to machines. */
  Fleet = 'fleet',
  /** What each daemon says of itself at its start. */
  Daemons = 'daemons',
}

/** What became of an append. */
export enum AppendOutcome {
  Appended = 'appended',
  /** The store said that it did nothing; the same call may succeed later. */
  Refused = 'refused',
  /** The stream did not end at the offset asked for. */
  EndOffsetMismatch = 'moved',
  /** A writer with a higher term has written. */
  Fenced = 'fenced',
  /** The sequence number does not follow the last one. */
  OutOfSequence = 'out_of_sequence',
  /** No answer: it may have been done, and may still be. */
  Unknown = 'unknown',
}

/** Answer to an append. */
export type AppendResult =
  | {
      readonly outcome: AppendOutcome.Appended;
      readonly offset: number;
      readonly endOffset: number;
    }
  | {
      readonly outcome: AppendOutcome.EndOffsetMismatch;
      readonly endOffset: number;
    }
  | {readonly outcome: AppendOutcome.OutOfSequence; readonly expected: number}
  | {
      readonly outcome:
        AppendOutcome.Refused | AppendOutcome.Fenced | AppendOutcome.Unknown;
      readonly reason: string;
    };

/** Conditions of an append. */
export interface AppendConditions {
  /** Of the stream; 0 where nothing is said. */
  readonly partition?: number;
  /** Append only if the partition ends here. */
  readonly expectedEndOffset?: number;
  /** A repeat of an append with the same numbers is not done twice; a lower term is fenced. */
  readonly writer?: {
    readonly name: string;
    readonly term: number;
    readonly sequence: number;
  };
}

/** A record with its place in the stream. */
export interface LoggedRecord extends KeyedRecord {
  readonly offset: number;
}

/** What became of a read. */
export enum ReadOutcome {
  Read = 'read',
  /** Records from the offset on are no longer kept. */
  Gap = 'gap',
  Unavailable = 'unavailable',
}

/** Answer to a read. */
export type ReadResult =
  | {
      readonly outcome: ReadOutcome.Read;
      readonly records: readonly LoggedRecord[];
      /** Offset behind the last record of the stream at the time of the answer. */
      readonly endOffset: number;
    }
  | {readonly outcome: ReadOutcome.Gap}
  | {readonly outcome: ReadOutcome.Unavailable; readonly reason: string};

/** The newest record of each key. */
export type NewestByKeyResult =
  | {
      readonly outcome: ReadOutcome.Read;
      readonly records: readonly LoggedRecord[];
      /** Where reading goes on: at or before the end at the time of the first page. */
      readonly endOffset: number;
    }
  | {readonly outcome: ReadOutcome.Unavailable; readonly reason: string};

/** The platform's store. Every call ends within a bounded time. */
export interface RecordLog {
  append(
    stream: LogStream,
    records: readonly KeyedRecord[],
    conditions?: AppendConditions,
  ): Promise<AppendResult>;
  /** Waits up to `waitMilliseconds` for a record at `offset` of a partition. */
  read(
    stream: LogStream,
    offset: number,
    waitMilliseconds: number,
    partition?: number,
  ): Promise<ReadResult>;
  newestByKey(
    stream: LogStream,
    partition?: number,
  ): Promise<NewestByKeyResult>;
}

import type {KeyedRecord} from '@gentiandoor/jobs';

/** Streams of the platform's store that the daemon reads or writes. */
export enum LogStream {
  /** Requests of operators; read only. */
  Operator = 'operator',
  /** Entries that workers publish about themselves; read only. */
  Workers = 'workers',
  /** Reports to operators. */
  Reports = 'reports',
  /** Submissions and cancellations of jobs, spread over several partitions. */
  Submissions = 'submissions',
  /** Progress of jobs. */
  Jobs = 'jobs',
  /** Terms of coordinators, which decide who may give orders. */
  Terms = 'terms',
  /** Last orders about VMs, progress of maintenance waves, and learned figures. */
  Fleet = 'fleet',
  /** Entries that daemons publish about themselves at startup. */
  Daemons = 'daemons',
  /** Reports of the coordinator about waiting work. */
  Pressure = 'pressure',
}

/** Outcome of an append. */
export enum AppendOutcome {
  Appended = 'appended',
  /** The store reports that it did nothing; the same call may succeed later. */
  Refused = 'refused',
  /** The store does not take these records, however often they are sent. */
  Rejected = 'rejected',
  /** The stream did not end at the expected offset. */
  EndOffsetMismatch = 'moved',
  /** A writer with a higher term has written. */
  Fenced = 'fenced',
  /** The sequence number does not follow the last one. */
  OutOfSequence = 'out_of_sequence',
  /** No response: the append may have been applied, and may still be. */
  Unknown = 'unknown',
}

/** Result of an append. */
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
        | AppendOutcome.Refused
        | AppendOutcome.Rejected
        | AppendOutcome.Fenced
        | AppendOutcome.Unknown;
      readonly reason: string;
    };

/** Conditions of an append. */
export interface AppendConditions {
  /** Partition of the stream; 0 by default. */
  readonly partition?: number;
  /** Append only if the partition ends here. */
  readonly expectedEndOffset?: number;
  /**
   * A repeated append with the same numbers is not applied twice; a lower term is fenced.
   */
  readonly writer?: {
    readonly name: string;
    readonly term: number;
    readonly sequence: number;
  };
}

/** A record with its offset in the stream. */
export interface LoggedRecord extends KeyedRecord {
  readonly offset: number;
}

/** Outcome of a read. */
export enum ReadOutcome {
  Read = 'read',
  /** Records at the requested offset are no longer retained. */
  Gap = 'gap',
  Unavailable = 'unavailable',
}

/** Result of a read. */
export type ReadResult =
  | {
      readonly outcome: ReadOutcome.Read;
      readonly records: readonly LoggedRecord[];
      /** Offset after the last record of the stream at the time of the response. */
      readonly endOffset: number;
    }
  | {readonly outcome: ReadOutcome.Gap}
  | {readonly outcome: ReadOutcome.Unavailable; readonly reason: string};

/** Result of reading the newest record of each key. */
export type NewestByKeyResult =
  | {
      readonly outcome: ReadOutcome.Read;
      readonly records: readonly LoggedRecord[];
      /**
       * Offset at which reading continues: at or before the end of the stream at the time
       * of the first page.
       */
      readonly endOffset: number;
    }
  | {readonly outcome: ReadOutcome.Unavailable; readonly reason: string};

/** The platform's store. Every call completes within a bounded time. */
export interface RecordLog {
  append(
    stream: LogStream,
    records: readonly KeyedRecord[],
    conditions?: AppendConditions,
  ): Promise<AppendResult>;
  /**
   * Reads the records from `offset` of a partition on; waits up to `waitMilliseconds` for
   * one.
   */
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

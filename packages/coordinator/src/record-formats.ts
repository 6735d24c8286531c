import type {KeyedRecord} from '@gentiandoor/jobs';
import type {OperatorRecord, WaveState} from './operator-records.js';
import type {WorkerEntry} from './worker-gateway.js';

/** Reads and writes records whose formats are defined outside the coordinator. */
export interface RecordFormats {
  /**
   * Parses an operator's record. Returns undefined for a key that is not used; throws if
   * the value is unreadable.
   */
  operatorRecord(record: KeyedRecord): OperatorRecord | undefined;
  /** Parses a worker's entry; throws if it does not describe a usable worker. */
  workerEntry(record: KeyedRecord): WorkerEntry;
  waveReport(wave: number, state: WaveState): KeyedRecord;
}

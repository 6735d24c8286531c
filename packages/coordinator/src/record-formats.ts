import type {KeyedRecord} from '@gentiandoor/jobs';
import type {OperatorRecord, WaveState} from './operator-records.js';
import type {WorkerEntry} from './worker-gateway.js';

/** Reads and writes the records that others define. */
export interface RecordFormats {
  /** Undefined for a key of no interest; throws when the value can't be read. */
  operatorRecord(record: KeyedRecord): OperatorRecord | undefined;
  /** Throws when the entry is not one of a worker that can be used. */
  workerEntry(record: KeyedRecord): WorkerEntry;
  waveReport(wave: number, state: WaveState): KeyedRecord;
}

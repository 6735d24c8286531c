import type {z} from 'zod';
import type {FleetState, Rejection} from './fleet-state.js';
import type {FleetRecord} from './records.js';

/** Validates and applies one kind of record. */
export interface RecordHandler<Entry extends FleetRecord> {
  /**
   * Record format that introduced the kind; writers use the kind only once that format is in
   * use.
   */
  readonly sinceFormat: number;
  /** Validates every field; records that pass must not make `apply` throw. */
  readonly schema: z.ZodType<Entry>;
  /** Changes `state` or returns why the record is rejected; depends only on its arguments. */
  apply(
    state: FleetState,
    record: Entry,
    offset: number,
  ): Rejection | undefined;
}

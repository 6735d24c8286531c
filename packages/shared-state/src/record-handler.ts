import type {z} from 'zod';
import type {FleetState, Rejection} from './fleet-state.js';
import type {FleetRecord} from './records.js';

/** How one kind of record is checked and applied. */
export interface RecordHandler<Entry extends FleetRecord> {
  /** Format of the encoding that brought the kind; writers use it only when it is in use. */
  readonly sinceFormat: number;
  /** Checks every field; what it lets through must not make `apply` throw. */
  readonly schema: z.ZodType<Entry>;
  /** Changes `state` or says why not; depends on nothing but its arguments. */
  apply(
    state: FleetState,
    record: Entry,
    offset: number,
  ): Rejection | undefined;
}

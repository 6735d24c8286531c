import type {FleetState} from './fleet-state.js';
import type {FoldOutcome} from './fold.js';
import type {FleetRecord} from './records.js';

/** The state that all daemons compute from the log, as this daemon has it. */
export interface SharedState {
  /** The folded state; read only. */
  readonly state: FleetState;
  /** True when the log answered lately. */
  readonly isLogReachable: boolean;
  /**
   * Appends a record and reads on until the fold has judged it.
   * Throws `PlatformLogError` when the log cannot be reached within the signal.
   */
  publish(record: FleetRecord, signal?: AbortSignal): Promise<FoldOutcome>;
  /** Calls `listener` after records were applied. */
  onChange(listener: () => void): void;
}

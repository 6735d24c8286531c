import type {FleetState} from './fleet-state.js';
import type {FoldOutcome} from './fold.js';
import type {FleetRecord} from './records.js';

/** This daemon's copy of the state that all daemons compute from the log. */
export interface SharedState {
  /** The folded state; callers must not change it. */
  readonly state: FleetState;
  /** Whether the log has responded recently. */
  readonly isLogReachable: boolean;
  /**
   * Appends a record and waits until the fold has applied or rejected it. Throws
   * `PlatformLogError` if the log cannot be reached before `signal` is aborted.
   */
  publish(record: FleetRecord, signal?: AbortSignal): Promise<FoldOutcome>;
  /** Registers a listener that is called after records were applied. */
  onChange(listener: () => void): void;
}

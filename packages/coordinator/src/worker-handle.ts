import type {LiveRun} from './live-run.js';
import type {WorkerEntry} from './worker-gateway.js';

/** The session with one incarnation of a worker, as the coordinator's other parts see it. */
export interface WorkerHandle {
  readonly id: string;
  readonly entry: WorkerEntry;
  /** Runs that may be alive on the worker, by task. */
  readonly runs: ReadonlyMap<string, LiveRun>;
  readonly isDraining: boolean;
  /** Whether a start may be ordered now. */
  readonly acceptsStarts: boolean;
  /** Time since which the worker has not responded; undefined while it responds. */
  readonly silentFrom: number | undefined;
  /** Reserves capacity for a run. */
  addRun(run: LiveRun): void;
  /** Orders the worker to start a run, until its outcome is known. */
  startRun(run: LiveRun): Promise<void>;
  /** Orders the worker to stop a run, until its outcome is known. */
  stopRun(run: LiveRun): Promise<void>;
  /** Polls the worker without waiting, in parallel to a pending long poll. */
  probe(): Promise<void>;
}

import type {RunEnd} from '@gentiandoor/jobs';
import type {WorkerReliability} from '@gentiandoor/scheduling';
import type {CarryBounds} from './carried-runs.js';
import type {IncarnationEnd} from './incarnation-end.js';
import type {LiveRun} from './live-run.js';
import type {CallFailure, EndedRun, OrderRefusal} from './worker-gateway.js';
import type {LivenessHost} from './worker-liveness.js';
import type {WorkerHandle} from './worker-handle.js';

/** What a session needs from the coordinator. */
export interface SessionHost extends LivenessHost, CarryBounds {
  readonly term: number;
  /** Reliability of workers, as learned from their failures. */
  readonly reliability: WorkerReliability;
  /**
   * Timeout of a worker's response to a call that does not wait on the worker. If all
   * workers are slow, this daemon is the cause.
   */
  readonly responseTimeoutMilliseconds: number;
  /**
   * Mean response time of such calls; anything beyond a few milliseconds is caused by
   * this daemon.
   */
  readonly meanResponseMilliseconds: number;
  /** Records the response time of such a call. */
  noteResponseTime(milliseconds: number): void;
  ordersAllowed(): boolean;
  /**
   * Returns whether work is ever placed on workers of a service. VMs of a standby pool
   * are off.
   */
  usesWorkersOf(service: string): boolean;
  /** Returns whether workers of a service refuse tasks that exceed their capacity. */
  enforcesCapacity(service: string): boolean;
  /**
   * Returns whether the entries of workers were read recently enough to rely on their
   * capacities.
   */
  areCapacitiesFresh(): boolean;
  /** Called when a worker has seen a higher fencing token. */
  onFenced(): void;
  runEnded(
    session: WorkerHandle,
    run: LiveRun,
    end: RunEnd,
    checkpoint: string,
  ): void;
  /** Called when a run has been alive long enough to clear the crashes of its task. */
  runSurvived(run: LiveRun): void;
  /** Called when a run that had been given up has ended after all. */
  lateRunEnded(ended: EndedRun): void;
  startRefused(
    session: WorkerHandle,
    run: LiveRun,
    refusal: OrderRefusal,
  ): void;
  /** Called when the order of a run got no response, or was not sent. */
  startUnanswered(
    session: WorkerHandle,
    run: LiveRun,
    failure: CallFailure,
  ): void;
  /** Called when a run is not listed by its worker, though its order may still be carried out. */
  startInDoubt(run: LiveRun): void;
  /** Called when a run is known to have started. */
  runStarted(run: LiveRun): void;
  /** Called when the order of a run on a worker that reports its start was carried out. */
  startExecuted(run: LiveRun): void;
  /** Called when the worker stops responding: workers near it may be unreachable too. */
  sessionSilent(session: WorkerHandle): void;
  /** Called when a run no longer makes progress. */
  runStalled(session: WorkerHandle, run: LiveRun): void;
  /** Calls `then` once all ends read so far are stored. */
  afterStored(then: () => void): void;
  /** Called when the worker can accept starts again, or no longer can. */
  sessionChanged(session: WorkerHandle): void;
  /**
   * Called with the runs of an incarnation that is over whose start may still reach the
   * worker's next one.
   */
  runsCarriedOver(session: WorkerHandle, runs: readonly LiveRun[]): void;
  /** Called when the incarnation of the worker is over. */
  sessionEnded(session: WorkerHandle, end: IncarnationEnd): void;
}

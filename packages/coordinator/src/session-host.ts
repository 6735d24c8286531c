import type {RunEnd} from '@gentiandoor/jobs';
import type {WorkerReliability} from '@gentiandoor/scheduling';
import type {LiveRun} from './live-run.js';
import type {EndedRun, OrderRefusal} from './worker-gateway.js';
import type {LivenessHost} from './worker-liveness.js';
import type {WorkerSession} from './worker-session.js';

/** What a session needs of the coordinator. */
export interface SessionHost extends LivenessHost {
  readonly term: number;
  /** What is known of how workers fail. */
  readonly trust: WorkerReliability;
  /** How long any worker may take to answer a call that does not wait there: where all are slow, this daemon is. */
  readonly responseTimeoutMilliseconds: number;
  /** How long such calls take on average: more than a few milliseconds are this daemon's own. */
  readonly meanResponseMilliseconds: number;
  /** Such a call was answered after so long. */
  noteResponseTime(milliseconds: number): void;
  ordersAllowed(): boolean;
  /** Whether work is ever placed on workers of a service: VMs of a standby pool are off. */
  usesWorkersOf(service: string): boolean;
  /** Whether workers of a service refuse what does not fit them. */
  enforcesCapacity(service: string): boolean;
  /** Whether the entries of workers were read so lately that their rooms can be relied on. */
  areCapacitiesFresh(): boolean;
  /** A worker has seen a higher fencing token. */
  fenced(): void;
  runEnded(
    session: WorkerSession,
    run: LiveRun,
    end: RunEnd,
    checkpoint: string,
  ): void;
  /** A run has lived for long. */
  runSurvived(run: LiveRun): void;
  /** A run that was given up has ended after all. */
  lateRunEnded(ended: EndedRun): void;
  startRefused(
    session: WorkerSession,
    run: LiveRun,
    refusal: OrderRefusal,
  ): void;
  /** The worker does not answer: others near it may not either. */
  sessionSilent(session: WorkerSession): void;
  /** A run shows no progress any more. */
  runStalled(session: WorkerSession, run: LiveRun): void;
  /** Calls `then` when all ends read so far are stored. */
  afterStored(then: () => void): void;
  /** The worker can take starts again, or no longer. */
  sessionChanged(session: WorkerSession): void;
  /** The incarnation of the worker is over. */
  sessionEnded(session: WorkerSession): void;
}

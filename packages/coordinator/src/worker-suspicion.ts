import {RunEnd} from '@gentiandoor/jobs';
import {LogEvent, type Clock, type Logger} from '@gentiandoor/kernel';
import type {WorkerReliability} from '@gentiandoor/scheduling';
import type {LiveRun} from './live-run.js';
import type {WorkerSession} from './worker-session.js';

/** Blames workers for what goes wrong on them, and logs those that become suspects. */
export class WorkerSuspicion {
  constructor(
    private readonly trust: WorkerReliability,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  /** The end of a run speaks for its worker or against it. */
  noteEnd(session: WorkerSession, run: LiveRun, end: RunEnd): void {
    const {id} = run.execution.job;
    if (end === RunEnd.Done) this.trust.recordSuccess(session.id);
    if (end !== RunEnd.Failed) return;
    if (this.trust.recordFailure(session.id, id, this.now()))
      this.log(session, 'jobs that had failed nowhere else failed');
  }

  /** The worker itself is to blame, whatever the job. */
  suspect(session: WorkerSession, reason: string): void {
    if (this.trust.markSuspect(session.id, this.now()))
      this.log(session, reason);
  }

  private log(session: WorkerSession, reason: string): void {
    this.logger.warn(LogEvent.WorkerSuspect, {
      worker: session.id,
      runs: session.runs.size,
      reason,
    });
  }

  private now(): number {
    return this.clock.monotonicMilliseconds();
  }
}

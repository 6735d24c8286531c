import {RunEnd} from '@gentiandoor/jobs';
import {LogEvent, type Clock, type Logger} from '@gentiandoor/kernel';
import type {WorkerReliability} from '@gentiandoor/scheduling';
import type {LiveRun} from './live-run.js';
import type {WorkerHandle} from './worker-handle.js';

/** Attributes failures to workers, and logs the workers that become suspect. */
export class WorkerSuspicion {
  constructor(
    private readonly reliability: WorkerReliability,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  /** Records the end of a run as evidence for or against its worker. */
  noteEnd(session: WorkerHandle, run: LiveRun, end: RunEnd): void {
    const {id} = run.execution.job;
    if (end === RunEnd.Done) this.reliability.recordSuccess(session.id);
    if (end !== RunEnd.Failed) return;
    if (this.reliability.recordFailure(session.id, id, this.now()))
      this.log(session, 'jobs failed that had failed on no other worker');
  }

  /** Marks the worker as suspect, whatever the job. */
  suspect(session: WorkerHandle, reason: string): void {
    if (this.reliability.markSuspect(session.id, this.now()))
      this.log(session, reason);
  }

  private log(session: WorkerHandle, reason: string): void {
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

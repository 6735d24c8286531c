import {ArrivalRates} from '@gentiandoor/admission';
import type {ExecutableTask, JobExecution} from '@gentiandoor/jobs';
import type {Clock} from '@gentiandoor/kernel';
import type {ServiceDemand} from './service-demand.js';
import type {PlacementCandidate} from './waiting-jobs.js';
import type {ServiceWaitingWork, WaitingWorkSource} from './waiting-work.js';
import type {WorkerHandle} from './worker-handle.js';

/** Records what placement rounds leave waiting, for the reports to all daemons. */
export class WaitingWorkRecorder implements WaitingWorkSource {
  /** What the latest round of each service left waiting; no entry if it left nothing. */
  private readonly waiting = new Map<string, ServiceWaitingWork>();
  private readonly arrivals = new Map<string, ArrivalRates>();
  private readonly incomingMillicores = new Map<string, number>();
  /** Time since which some VM is being moved into the pool of each service. */
  private readonly incomingSince = new Map<string, number>();

  constructor(
    private readonly demand: ServiceDemand,
    private readonly clock: Clock,
  ) {}

  waitingWork(): readonly ServiceWaitingWork[] {
    return [...this.waiting.values()];
  }

  arrivalsOf(service: string): ArrivalRates {
    let rates = this.arrivals.get(service);
    if (!rates) this.arrivals.set(service, (rates = new ArrivalRates()));
    return rates;
  }

  taskWork(execution: JobExecution, task: ExecutableTask): number {
    return this.demand.taskWork(execution.job.queue, task.specification);
  }

  /** Records the capacity of the VMs that are being moved into the pool of `service`. */
  noteIncoming(service: string, millicores: number): void {
    this.incomingMillicores.set(service, millicores);
    if (millicores <= 0) this.incomingSince.delete(service);
    else if (!this.incomingSince.has(service))
      this.incomingSince.set(service, this.clock.monotonicMilliseconds());
  }

  /** Records the jobs that a placement round of `service` left waiting. */
  noteRound(
    service: string,
    jobs: readonly PlacementCandidate[],
    sessions: readonly WorkerHandle[],
    now: number,
  ): void {
    if (jobs.length === 0) this.waiting.delete(service);
    else
      this.waiting.set(service, {
        service,
        sessions,
        incomingMillicores: this.incomingMillicores.get(service) ?? 0,
        incomingSince: this.incomingSince.get(service) ?? now,
        jobs,
      });
  }

  /** Records a job of `service` that was submitted `ageMilliseconds` ago. */
  noteArrival(
    service: string,
    execution: JobExecution,
    ageMilliseconds: number,
  ): void {
    const work = this.demand.workOf(execution.job);
    const at = this.clock.monotonicMilliseconds() - ageMilliseconds;
    this.arrivalsOf(service).note(work, at);
  }

  /** Forgets the waiting work of all services, which queues may have left. */
  clear(): void {
    this.waiting.clear();
  }
}

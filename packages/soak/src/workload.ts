import {RunEnd} from '@gentiandoor/jobs';
import type {SeededRandom} from '@gentiandoor/kernel';
import type {TaskBehaviour} from '@gentiandoor/coordinator/stand-ins';

/** One step of a soaked job, as its caller submits it. */
export interface SoakStep {
  readonly tasks: number;
  readonly millicores: number;
  readonly megabytes: number;
  readonly estimatedMilliseconds: number;
  /** Undefined for a long-running step. */
  readonly durationMilliseconds: number | undefined;
  /** Indices of earlier steps. */
  readonly after: readonly number[];
  /** Maximum number of its tasks on one worker; 0 for no limit. */
  readonly maximumPerWorker: number;
}

/** What a caller submits. */
export interface SoakRequest {
  readonly service: string;
  readonly steps: readonly SoakStep[];
}

/** Decides which jobs callers submit in each round of a soak. */
export interface Workload {
  /** Returns the requests of one round; `elapsedMilliseconds` counts from the first round. */
  requestsOf(round: number, elapsedMilliseconds: number): Iterable<SoakRequest>;
}

const PLAIN_STEP: SoakStep = {
  tasks: 1,
  millicores: 1_000,
  megabytes: 10,
  estimatedMilliseconds: 300,
  durationMilliseconds: 900,
  after: [],
  maximumPerWorker: 0,
};

/** A few jobs of one step, spread over all services. */
export class FewJobs implements Workload {
  constructor(
    private readonly services: readonly string[],
    private readonly random: SeededRandom,
  ) {}

  *requestsOf(): Iterable<SoakRequest> {
    for (let count = 1 + this.random.nextInteger(3); count > 0; count--) {
      const service =
        this.services[this.random.nextInteger(this.services.length)];
      const tasks = 1 + this.random.nextInteger(4);
      yield {service, steps: [{...PLAIN_STEP, tasks}]};
    }
  }
}

const TURN_MILLISECONDS = 5_000;
const LASTING_ROUNDS = 2;
/** Quick jobs of each round for each worker of a service: more than its pool alone can do. */
const JOBS_PER_WORKER = 2;

/**
 * Queues whose demand rises by turns, beside jobs that last: quick jobs of one or two steps, large
 * ones of two, and in the first rounds two long-running jobs for each service, of which each task
 * needs a worker of its own.
 */
export class QueuesByTurns implements Workload {
  constructor(
    private readonly services: readonly string[],
    private readonly random: SeededRandom,
    /** Workers of one service, which bounds the width of long-running jobs. */
    private readonly workersPerService: number,
  ) {}

  *requestsOf(
    round: number,
    elapsedMilliseconds: number,
  ): Iterable<SoakRequest> {
    if (round < LASTING_ROUNDS)
      for (const service of this.services)
        yield {service, steps: [this.lastingStep()]};
    const turn = Math.floor(elapsedMilliseconds / TURN_MILLISECONDS);
    const busy = this.services[turn % this.services.length];
    const jobs = Math.ceil(JOBS_PER_WORKER * this.workersPerService);
    for (let index = 0; index < jobs; index++) yield this.quickJob(busy);
    if (this.random.nextInteger(3) === 0)
      yield this.largeJob(this.anyService());
    if (this.random.nextInteger(4) === 0)
      yield this.quickJob(this.anyService());
  }

  private quickJob(service: string): SoakRequest {
    const steps = [this.step(6, 3_500, 640, [])];
    if (this.random.nextInteger(5) < 3)
      steps.push(this.step(6, 3_500, 640, [0]));
    return {service, steps};
  }

  private largeJob(service: string): SoakRequest {
    const steps = [
      this.step(8, 7_700, 1_300, []),
      this.step(8, 7_700, 1_300, [0]),
    ];
    return {service, steps};
  }

  private step(
    meanTasks: number,
    millicores: number,
    meanMilliseconds: number,
    after: readonly number[],
  ): SoakStep {
    const tasks = 1 + this.random.nextInteger(2 * meanTasks - 1);
    const factor = 0.5 + this.random.nextFraction();
    return {
      ...PLAIN_STEP,
      tasks,
      millicores,
      megabytes: 4_000,
      estimatedMilliseconds: Math.round(meanMilliseconds),
      durationMilliseconds: Math.round(meanMilliseconds * factor),
      after,
      maximumPerWorker: this.random.nextInteger(7) === 0 ? 2 : 0,
    };
  }

  private lastingStep(): SoakStep {
    const widest = this.workersPerService;
    const narrowest = Math.ceil(widest / 2);
    return {
      ...PLAIN_STEP,
      tasks: narrowest + this.random.nextInteger(widest - narrowest + 1),
      millicores: 2_600,
      megabytes: 18_000,
      estimatedMilliseconds: 500,
      durationMilliseconds: undefined,
      maximumPerWorker: 1,
    };
  }

  private anyService(): string {
    return this.services[this.random.nextInteger(this.services.length)];
  }
}

/** Returns how a task of a step behaves on a sound worker; tasks of a step last unevenly long. */
export function behaviourOfTask(step: SoakStep, task: string): TaskBehaviour {
  const {durationMilliseconds} = step;
  return {
    durationMilliseconds:
      durationMilliseconds && durationMilliseconds * (0.5 + fractionOf(task)),
    end: RunEnd.Done,
    resources: {
      processorMillicores: step.millicores,
      memoryMegabytes: step.megabytes,
      accelerators: 0,
    },
  };
}

function fractionOf(text: string): number {
  let hash = 7;
  for (const character of text)
    hash = (hash * 31 + character.charCodeAt(0)) % 1_000_003;
  return (hash % 1_000) / 1_000;
}

/** Returns the steps of a request in the platform's format. */
export function encodeSteps(steps: readonly SoakStep[]): object[] {
  return steps.map(step => ({
    count: step.tasks,
    cpu: step.millicores,
    mem_mb: step.megabytes,
    estimated_ms: step.estimatedMilliseconds,
    after: step.after.length > 0 ? step.after : undefined,
    anti_affinity: step.maximumPerWorker || undefined,
    long_running: step.durationMilliseconds === undefined || undefined,
  }));
}

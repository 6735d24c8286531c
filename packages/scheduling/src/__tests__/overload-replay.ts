import {SeededRandom} from '@gentiandoor/kernel';
import {DurationModel} from '../duration-model.js';
import {feasibilityOf, rankOf} from '../job-order.js';
import type {WaitingOrder, WaitingWork} from '../waiting-order.js';

/** A burst of one queue, after which nearly nothing arrives. */
export interface OverloadParameters {
  /** Arriving work in multiples of the pool's capacity. */
  readonly load: number;
  readonly milliseconds: number;
  /** Standard deviation of the logarithm of actual to estimated run time of a task. */
  readonly sigma: number;
  readonly seed: number;
}

/** What a replayed overload came to. */
export interface OverloadResult {
  /** Sum of the values of jobs in time, as a share of the value of all jobs. */
  readonly valueInTime: number;
  readonly inTime: ServedShares;
  /** Ended within three times the objective. */
  readonly served: ServedShares;
}

/** Shares of the jobs of a size class. */
export interface ServedShares {
  readonly all: number;
  readonly largestTenth: number;
  readonly nextFifth: number;
}

/** A waiting job of the replay. */
interface ReplayedWork extends WaitingWork {
  readonly job: ReplayedJob;
}

const POOL_CORES = 64;
const CORE_MILLICORES = 1_000;
const TICK_MILLISECONDS = 20;
const STRETCH = 2;
const LATENCY_MILLISECONDS = 600;
const EXPIRY_FACTOR = 3;
const MAXIMUM_VALUE = 4;
const TRAINING_RUNS = 200;

/** A task with its actual run time. */
interface ReplayedTask {
  readonly milliseconds: number;
}

interface ReplayedStep {
  readonly estimate: number;
  readonly tasks: readonly ReplayedTask[];
  started: number;
  ended: number;
}

class ReplayedJob {
  current = 0;
  endedAt = Infinity;

  constructor(
    readonly at: number,
    readonly steps: readonly ReplayedStep[],
  ) {}

  /** Core-milliseconds of all its tasks. */
  get work(): number {
    let sum = 0;
    for (const {tasks} of this.steps)
      for (const {milliseconds} of tasks) sum += milliseconds;
    return sum;
  }

  /** The objective by which it is judged, from the actual run times. */
  get objective(): number {
    const path = this.steps.reduce(
      (sum, {tasks}) =>
        sum + Math.max(...tasks.map(({milliseconds}) => milliseconds)),
      0,
    );
    return STRETCH * path + LATENCY_MILLISECONDS;
  }
}

/** Returns a normally distributed number. */
function normal(random: SeededRandom): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.nextFraction()));
  return radius * Math.cos(2 * Math.PI * random.nextFraction());
}

function replayedStep(random: SeededRandom, sigma: number): ReplayedStep {
  const estimate = 350 * Math.exp(0.5 * normal(random));
  const count = Math.min(
    40,
    1 + Math.floor(-4 * Math.log(1 - random.nextFraction())),
  );
  const tasks = Array.from({length: count}, () => ({
    milliseconds: estimate * Math.exp(sigma * normal(random)),
  }));
  return {estimate, tasks, started: 0, ended: 0};
}

/** Returns the jobs of a burst and of a lull of the same length, by arrival. */
function arrivals(
  {load, milliseconds, sigma}: OverloadParameters,
  random: SeededRandom,
): ReplayedJob[] {
  const jobs: ReplayedJob[] = [];
  let at = 0;
  while (at < 2 * milliseconds) {
    const count = 1 + Math.floor(3 * random.nextFraction());
    const steps = Array.from({length: count}, () =>
      replayedStep(random, sigma),
    );
    const job = new ReplayedJob(at, steps);
    jobs.push(job);
    const rate = POOL_CORES * (at < milliseconds ? load : load / 100);
    at += (job.work / rate) * -Math.log(1 - random.nextFraction());
  }
  return jobs;
}

/** Learns run times from runs before the burst. */
function trainedModel(sigma: number, random: SeededRandom): DurationModel {
  const model = new DurationModel();
  for (let run = 0; run < TRAINING_RUNS; run++) {
    const {estimate, tasks} = replayedStep(random, sigma);
    model.observe(estimate, tasks[0].milliseconds);
  }
  return model;
}

/** Replays an overload of a pool of fixed size under a waiting order. */
class OverloadReplay {
  private readonly random: SeededRandom;
  private readonly model: DurationModel;
  private readonly jobs: readonly ReplayedJob[];
  private readonly meanWork: number;
  private running: Array<{
    job: ReplayedJob;
    task: ReplayedTask;
    endsAt: number;
  }> = [];
  private waiting: ReplayedJob[] = [];

  constructor(
    private readonly parameters: OverloadParameters,
    private readonly order: WaitingOrder,
  ) {
    this.random = new SeededRandom(parameters.seed);
    this.model = trainedModel(parameters.sigma, this.random);
    this.jobs = arrivals(parameters, this.random);
    this.meanWork =
      this.jobs.reduce((sum, {work}) => sum + work, 0) / this.jobs.length;
  }

  run(): OverloadResult {
    let next = 0;
    const end = 2 * this.parameters.milliseconds + 20_000;
    for (let now = 0; now < end; now += TICK_MILLISECONDS) {
      while (next < this.jobs.length && this.jobs[next].at <= now)
        this.waiting.push(this.jobs[next++]);
      this.endRuns(now);
      this.place(now);
    }
    return this.result();
  }

  private endRuns(now: number): void {
    const running = [];
    for (const run of this.running)
      if (run.endsAt > now) running.push(run);
      else this.endTask(run.job, run.task, run.endsAt);
    this.running = running;
    this.waiting = this.waiting.filter(job => job.endedAt === Infinity);
  }

  private endTask(job: ReplayedJob, task: ReplayedTask, at: number): void {
    const step = job.steps[job.current];
    this.model.observe(step.estimate, task.milliseconds);
    if (++step.ended < step.tasks.length) return;
    if (++job.current === job.steps.length) job.endedAt = at;
  }

  private place(now: number): void {
    let free = POOL_CORES - this.running.length;
    if (free === 0) return;
    const candidates = this.waiting
      .filter(job => hasReadyTask(job))
      .map(job => this.candidate(job, now));
    const pool = {
      usableMillicores: POOL_CORES * CORE_MILLICORES,
      incomingMillicores: 0,
    };
    for (const {job} of this.order.order(candidates, pool, now)) {
      const step = job.steps[job.current];
      while (free > 0 && step.started < step.tasks.length) {
        const task = step.tasks[step.started++];
        this.running.push({job, task, endsAt: now + task.milliseconds});
        free--;
      }
      if (free === 0) return;
    }
  }

  private candidate(job: ReplayedJob, now: number): ReplayedWork {
    const open = job.steps.slice(job.current);
    const objective =
      STRETCH * this.expectedPath(job.steps) + LATENCY_MILLISECONDS;
    const waiting = {
      priority: 0,
      dueAt: job.at + objective,
      expiresAt: job.at + EXPIRY_FACTOR * objective,
      remainingCriticalPathMilliseconds: this.expectedPath(open),
    };
    return {
      ...waiting,
      rank: rankOf(feasibilityOf(waiting, now), false),
      remainingMillicoreMilliseconds: CORE_MILLICORES * this.expectedWork(open),
      job,
    };
  }

  private expectedPath(steps: readonly ReplayedStep[]): number {
    return steps.reduce(
      (sum, {estimate}) => sum + this.model.medianMilliseconds(estimate),
      0,
    );
  }

  /** Returns the expected core-milliseconds of the tasks that have not started. */
  private expectedWork(steps: readonly ReplayedStep[]): number {
    return steps.reduce(
      (sum, {tasks, started, estimate}) =>
        sum + (tasks.length - started) * this.model.meanMilliseconds(estimate),
      0,
    );
  }

  private valueOf(work: number): number {
    return Math.min(MAXIMUM_VALUE, 0.3 + (0.7 * work) / this.meanWork);
  }

  private result(): OverloadResult {
    const judged = this.jobs.map(job => {
      const took = job.endedAt - job.at;
      return {
        work: job.work,
        value: this.valueOf(job.work),
        inTime: took <= job.objective,
        served: took <= EXPIRY_FACTOR * job.objective,
      };
    });
    const total = judged.reduce((sum, {value}) => sum + value, 0);
    const gained = judged.reduce(
      (sum, {value, inTime}) => sum + (inTime ? value : 0),
      0,
    );
    judged.sort((left, right) => right.work - left.work);
    const tenth = Math.ceil(judged.length / 10);
    const shares = (kind: 'inTime' | 'served'): ServedShares => ({
      all: shareOf(judged, kind),
      largestTenth: shareOf(judged.slice(0, tenth), kind),
      nextFifth: shareOf(judged.slice(tenth, 3 * tenth), kind),
    });
    return {
      valueInTime: gained / total,
      inTime: shares('inTime'),
      served: shares('served'),
    };
  }
}

function hasReadyTask({steps, current}: ReplayedJob): boolean {
  return (
    current < steps.length &&
    steps[current].started < steps[current].tasks.length
  );
}

function shareOf<Kind extends string>(
  jobs: ReadonlyArray<Readonly<Record<Kind, boolean>>>,
  kind: Kind,
): number {
  return jobs.filter(job => job[kind]).length / jobs.length;
}

/** Replays an overload under a waiting order. */
export function replayOverload(
  parameters: OverloadParameters,
  order: WaitingOrder,
): OverloadResult {
  return new OverloadReplay(parameters, order).run();
}

import {PLAIN_STEP, type JobSubmission} from '@gentiandoor/jobs';
import {SeededRandom, VirtualClock} from '@gentiandoor/kernel';
import {
  DeadlineFeasibility,
  LargestPostponed,
  PriorityBoostBudget,
  feasibilityOf,
  rankOf,
  type WaitingOrder,
  type WaitingWork,
} from '@gentiandoor/scheduling';
import {
  ArrivalRates,
  FeasibilityAdmission,
  emptyHistogram,
  sizeClassOf,
  type PressureReport,
  type RunTimeRatio,
} from '../index.js';

/** A load and the pool that serves it. */
export interface Load {
  readonly seed: number;
  readonly daemons: number;
  readonly periods: number;
  /** Cores that the load needs on average. */
  readonly meanCores: number;
  readonly burstMilliseconds: number;
  readonly burstFactor: number;
  /** Cores of the pool, and from `followMilliseconds` after the start of a burst. */
  readonly cores: number;
  readonly laterCores: number;
  readonly followMilliseconds: number;
  readonly isAdmissionControlled: boolean;
  /** Ids of the accepted jobs; if undefined, the policy decides. */
  readonly admitted?: ReadonlySet<string>;
}

/** Numbers of jobs at the end of a replay. */
export interface Outcome {
  /** Ids of the accepted jobs. */
  readonly accepted: ReadonlySet<string>;
  /** Ids of the refused jobs. */
  readonly refused: readonly string[];
  /** Accepted jobs that met their objective. */
  readonly inTime: number;
  /** Accepted jobs that ended within three times their objective. */
  readonly ofUse: number;
}

interface ModelJob extends WaitingWork {
  readonly submission: JobSubmission;
  readonly arrivedAt: number;
  readonly runMilliseconds: number;
  readonly work: number;
  readonly ends: number[];
  waiting: number;
  rank: number;
  remainingMillicoreMilliseconds: number;
}

const STRETCH = 2;
const LATENCY_MILLISECONDS = 500;
const LATE_FACTOR = 3;
const STEP_MILLISECONDS = 10;
const REPORT_MILLISECONDS = 300;
const READ_MILLISECONDS = 50;
const PRESSED_MILLISECONDS = 200;
const SPREAD = 0.8;
const ESTIMATE_SPREAD = 0.9;
const MEDIAN_MILLISECONDS = 250;
const MAXIMUM_TASKS = 8;
const LOW_FACTOR = 0.05;
/** A burst's capacity stays for this long after it. */
const HOLD_MILLISECONDS = 6_000;
const SERVICE = 'previews';
const QUEUE = 'quick-previews';
/** What a regression of run times on estimates finds for these spreads. */
const SLOPE = SPREAD ** 2 / (SPREAD ** 2 + ESTIMATE_SPREAD ** 2);
const RATIO: RunTimeRatio = {
  queue: QUEUE,
  typicalEstimateMilliseconds: MEDIAN_MILLISECONDS,
  typicalMilliseconds: MEDIAN_MILLISECONDS,
  slope: SLOPE,
  meanFactor: Math.exp((SPREAD ** 2 * (1 - SLOPE)) / 2),
};

/** A pool that serves waiting jobs in the order of the coordinator. */
export class WaitingModel {
  private readonly clock = new VirtualClock();
  private readonly random: SeededRandom;
  private readonly policies: readonly FeasibilityAdmission[];
  private readonly rates = new ArrivalRates();
  private readonly order: WaitingOrder = new LargestPostponed();
  private readonly boosts = new PriorityBoostBudget();
  private readonly jobs: ModelJob[] = [];
  private readonly refused: string[] = [];
  private waiting: ModelJob[] = [];
  private expired: ModelJob[] = [];
  private running: number[] = [];
  private pressedSince: number | undefined;
  private reportedAt = -Infinity;
  private sequence = 0;
  private submitted = 0;
  private now = 0;

  constructor(private readonly load: Load) {
    this.random = new SeededRandom(load.seed);
    this.policies = Array.from(
      {length: load.daemons},
      () => new FeasibilityAdmission(this.clock),
    );
  }

  /** Replays the load until all work that will be done is done. */
  replay(): Outcome {
    const end = this.load.periods * this.period;
    for (; this.now < end; this.now += STEP_MILLISECONDS) {
      this.clock.advance(STEP_MILLISECONDS);
      this.submitJobs();
      this.startTasks();
      this.report();
    }
    return this.outcome();
  }

  private get period(): number {
    const {burstMilliseconds, burstFactor} = this.load;
    return (burstMilliseconds * (burstFactor - LOW_FACTOR)) / (1 - LOW_FACTOR);
  }

  private get phase(): number {
    return this.now % this.period;
  }

  private get cores(): number {
    const {burstMilliseconds, followMilliseconds} = this.load;
    const isLater =
      this.phase >= followMilliseconds &&
      this.phase < burstMilliseconds + HOLD_MILLISECONDS;
    return isLater ? this.load.laterCores : this.load.cores;
  }

  private get incomingCores(): number {
    const {laterCores, followMilliseconds} = this.load;
    return this.phase < followMilliseconds ? laterCores - this.cores : 0;
  }

  private submitJobs(): void {
    const {burstMilliseconds, burstFactor, meanCores} = this.load;
    const meanTasks = (1 + MAXIMUM_TASKS) / 2;
    const meanWork =
      meanTasks * MEDIAN_MILLISECONDS * Math.exp(SPREAD ** 2 / 2);
    const factor = this.phase < burstMilliseconds ? burstFactor : LOW_FACTOR;
    const expected = (factor * meanCores * STEP_MILLISECONDS) / meanWork;
    let count = Math.floor(expected + this.random.nextFraction());
    while (count-- > 0) this.submitJob();
  }

  private submitJob(): void {
    const taskCount = 1 + this.random.nextInteger(MAXIMUM_TASKS);
    const run = MEDIAN_MILLISECONDS * Math.exp(SPREAD * this.normal());
    const estimate = run * Math.exp(ESTIMATE_SPREAD * this.normal());
    const submission: JobSubmission = {
      id: `job-${this.submitted++}`,
      queue: QUEUE,
      service: SERVICE,
      payload: '',
      submittedAtMilliseconds: this.now,
      steps: [{...PLAIN_STEP, taskCount, estimatedMilliseconds: estimate}],
    };
    const policy = this.policies[this.random.nextInteger(this.policies.length)];
    const isAccepted = this.isAccepted(policy, submission);
    const expected =
      MEDIAN_MILLISECONDS * (estimate / MEDIAN_MILLISECONDS) ** SLOPE;
    const work =
      PLAIN_STEP.processorMillicores * taskCount * expected * RATIO.meanFactor;
    if (!isAccepted) {
      this.refused.push(submission.id);
      return;
    }
    policy.noteAccepted(submission);
    this.rates.note(work, this.now);
    const job: ModelJob = {
      submission,
      arrivedAt: this.now,
      runMilliseconds: run,
      priority: 0,
      dueAt: this.now + objectiveOf(expected),
      expiresAt: this.now + LATE_FACTOR * objectiveOf(expected),
      remainingCriticalPathMilliseconds: expected,
      work,
      ends: [],
      waiting: taskCount,
      rank: 0,
      remainingMillicoreMilliseconds: work,
    };
    this.jobs.push(job);
    this.waiting.push(job);
  }

  private isAccepted(
    policy: FeasibilityAdmission,
    submission: JobSubmission,
  ): boolean {
    const {admitted, isAdmissionControlled} = this.load;
    if (admitted) return admitted.has(submission.id);
    return !isAdmissionControlled || decide(policy, submission);
  }

  private startTasks(): void {
    this.running = this.running.filter(end => end > this.now);
    this.expire();
    if (this.running.length >= this.cores) return;
    this.startTasksOf(this.waiting);
    this.startTasksOf(this.expired);
    this.waiting = this.waiting.filter(job => job.waiting > 0);
    this.expired = this.expired.filter(job => job.waiting > 0);
  }

  /** Sets jobs that nobody waits for any more apart: they only get what the others leave. */
  private expire(): void {
    const isExpired = (job: ModelJob) =>
      feasibilityOf(job, this.now) === DeadlineFeasibility.Infeasible;
    this.expired.push(...this.waiting.filter(isExpired));
    this.waiting = this.waiting.filter(job => !isExpired(job));
  }

  private startTasksOf(jobs: readonly ModelJob[]): void {
    if (this.running.length >= this.cores) return;
    for (const job of this.inOrder(jobs)) {
      const free = this.cores - this.running.length;
      if (free <= 0) return;
      for (let count = Math.min(free, job.waiting); count > 0; count--) {
        const end = this.now + job.runMilliseconds;
        job.ends.push(end);
        job.waiting--;
        this.running.push(end);
      }
      if (job.waiting === 0) this.noteServed(job);
    }
  }

  private noteServed({submission}: ModelJob): void {
    this.boosts.recordServed();
    this.boosts.forget(submission.id);
  }

  private inOrder(jobs: readonly ModelJob[]): ModelJob[] {
    const {processorMillicores} = PLAIN_STEP;
    const pool = {
      usableMillicores: processorMillicores * this.cores,
      incomingMillicores: processorMillicores * this.incomingCores,
    };
    for (const job of jobs) {
      job.rank = this.rankOf(job);
      job.remainingMillicoreMilliseconds = this.openWorkOf(job);
    }
    return this.order.order(jobs, pool, this.now);
  }

  private rankOf(job: ModelJob): number {
    const feasibility = feasibilityOf(job, this.now);
    const goesFirst =
      feasibility === DeadlineFeasibility.AboutToExpire &&
      this.boosts.allows(job.submission.id);
    return rankOf(feasibility, goesFirst);
  }

  /** Returns the expected work of the tasks of a job that have not ended. */
  private openWorkOf({submission, work, waiting, ends}: ModelJob): number {
    const running = ends.filter(end => end > this.now).length;
    return (work * (waiting + running)) / submission.steps[0].taskCount;
  }

  private report(): void {
    const {waiting} = this;
    if (waiting.length === 0) this.pressedSince = undefined;
    else this.pressedSince ??= this.now;
    const isPressed =
      this.pressedSince !== undefined &&
      this.now - this.pressedSince > PRESSED_MILLISECONDS;
    if (!isPressed || this.now - this.reportedAt < REPORT_MILLISECONDS) return;
    this.reportedAt = this.now;
    const report = this.reportOf(waiting);
    this.clock.schedule(READ_MILLISECONDS, () => {
      for (const policy of this.policies)
        policy.noteReport(report, {
          monotonicMilliseconds: this.clock.monotonicMilliseconds(),
          wallMilliseconds: this.clock.wallMilliseconds(),
          sinceEarlierReadMilliseconds: REPORT_MILLISECONDS,
        });
    });
  }

  private reportOf(waiting: readonly ModelJob[]): PressureReport {
    const {followMilliseconds, daemons} = this.load;
    const inTime = emptyHistogram();
    let lateMillicoreMilliseconds = 0;
    for (const job of waiting) {
      const {taskCount} = job.submission.steps[0];
      const open = (job.work * job.waiting) / taskCount;
      if (feasibilityOf(job, this.now) === DeadlineFeasibility.InTime)
        inTime[sizeClassOf(job.work)] += open;
      else lateMillicoreMilliseconds += open;
    }
    return {
      term: 1,
      sequence: ++this.sequence,
      wallMilliseconds: this.clock.wallMilliseconds(),
      daemons,
      queues: [RATIO],
      services: [
        {
          name: SERVICE,
          usableMillicores: PLAIN_STEP.processorMillicores * this.cores,
          incomingMillicores:
            PLAIN_STEP.processorMillicores * this.incomingCores,
          incomingDelayMilliseconds: Math.max(
            0,
            followMilliseconds - this.phase,
          ),
          inTime,
          lateMillicoreMilliseconds,
          arrivingMillicores: this.rates.histogram(this.now),
          arrivingJobsPerSecond: this.rates.jobsPerSecond(this.now),
          pressedMilliseconds: this.now - (this.pressedSince ?? this.now),
          organisations: [],
        },
      ],
    };
  }

  private outcome(): Outcome {
    const ofUse = this.jobs.filter(job => isDoneWithin(job, LATE_FACTOR));
    return {
      accepted: new Set(this.jobs.map(({submission}) => submission.id)),
      refused: this.refused,
      inTime: ofUse.filter(job => isDoneWithin(job, 1)).length,
      ofUse: ofUse.length,
    };
  }

  private normal(): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this.random.nextFraction()));
    return radius * Math.cos(2 * Math.PI * this.random.nextFraction());
  }
}

/** Returns whether a job ended within `factor` times its objective. */
function isDoneWithin(job: ModelJob, factor: number): boolean {
  const end = job.waiting > 0 ? Infinity : Math.max(...job.ends);
  return end - job.arrivedAt <= factor * objectiveOf(job.runMilliseconds);
}

function objectiveOf(milliseconds: number): number {
  return STRETCH * milliseconds + LATENCY_MILLISECONDS;
}

function decide(policy: FeasibilityAdmission, job: JobSubmission): boolean {
  return policy.decide({
    job,
    stretch: STRETCH,
    latencyMilliseconds: LATENCY_MILLISECONDS,
  }).isAdmitted;
}

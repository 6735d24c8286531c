import {
  JobRecordKind,
  RunEnd,
  decodeJobRecord,
  parseJobRecordKey,
  type JobSubmission,
} from '@gentiandoor/jobs';
import {LogEvent, SeededRandom} from '@gentiandoor/kernel';
import {NO_LIMIT} from '@gentiandoor/organisations';
import {LogStream, SubmitAnswer} from '../index.js';
import {
  StoreFault,
  WorkerFault,
  maximumConcurrentRuns,
  overlappingRuns,
  pairsOfRuns,
  startsAfterCrashes,
  type StartedRun,
} from '../stand-ins/index.js';
import {CancellingCallers} from './cancelling-callers.js';
import {
  OTHER_QUEUE,
  QUEUE,
  SERVICE,
  TestDaemon,
  TestDeployment,
  behaviour,
  job,
  step,
} from './deployment.js';

const DAEMONS = 3;
const WORKERS = 4;
const FAULT_ROUNDS = 14;
const CALM_MILLISECONDS = 40_000;
/** With 40 s, stoppable work next to many long-running tasks was not done, also without stops. */
const CALM_MILLISECONDS_FULL = 120_000;
const SUBMIT_BOUND_MILLISECONDS = 3_000;
/** Maximum attempts of the queue that all jobs go to. */
const MAXIMUM_ATTEMPTS = 3;
const CRASHING_JOBS_EVERY = 6;
const CRASH_MILLISECONDS = 10;
/**
 * Number of worker crashes after which a task counts as crashing, and of the starts that
 * may follow.
 */
const CRASHES_COUNTED = 3;
const MAXIMUM_STARTS_AFTER_CRASHES = 2;
const MAXIMUM_PREEMPTIONS = 2;
/** Without preemption no stop is lost, so that the faults of a seed stay the same. */
const USUAL_WORKER_FAULTS = Object.values(WorkerFault).filter(
  fault => fault !== WorkerFault.StopsLost,
);
/** Work that fills the workers and may be stopped: more than they can do meanwhile. */
const STOPPABLE_TASKS = 12;
const STOPPABLE_MILLISECONDS = 4_000;
/** Time until workers and daemons are in use again after the last fault. */
const HEALED_MILLISECONDS = 15_000;
/** Stoppable jobs that fill all workers, and the time until they do. */
const FILLING_JOBS = 4;
const FILL_MILLISECONDS = 1_000;
const URGENT_JOBS = 3;
const URGENT_TASKS = 3;
const URGENT_MILLISECONDS = 500;

/** Result of a seeded run of faults; `violations` is empty if every guarantee held. */
export interface RandomRun {
  readonly violations: readonly string[];
  readonly started: number;
  readonly taken: number;
  /** Number of tasks that were chosen to be stopped for other work. */
  readonly preempted: number;
  /** Number of jobs of which a cancellation was answered. */
  readonly cancelled: number;
}

interface Submitted {
  readonly id: string;
  readonly answers: SubmitAnswer[];
  /** Attempts to submit; one that a killed daemon never answered is not a refusal. */
  attempts: number;
  readonly tasks: number;
  longRunning: boolean;
  /** Whether it may be stopped for other work. */
  readonly isStoppable?: boolean;
  /** Whether its caller cancels it. */
  isCancelled?: boolean;
}

/**
 * Runs random faults on a simulated deployment, then a calm period, and checks the
 * guarantees.
 */
export async function playRandomFaults(seed: number): Promise<RandomRun> {
  return new RandomFaults(seed).play();
}

/**
 * Runs random faults with every other job owned by an organisation that may run at most
 * `taskLimit` tasks at a time.
 */
export async function playLimitedFaults(
  seed: number,
  taskLimit: number,
): Promise<RandomRun> {
  return new RandomFaults(seed, taskLimit).play();
}

/**
 * Runs random faults with some jobs whose first task crashes each worker that starts it.
 */
export async function playCrashingFaults(seed: number): Promise<RandomRun> {
  return new RandomFaults(seed, undefined, new SeededRandom(seed)).play();
}

/**
 * Runs random faults on workers that are full of less urgent work, which may be stopped.
 */
export async function playPreemptedFaults(seed: number): Promise<RandomRun> {
  return new RandomFaults(seed, undefined, undefined, undefined, true).play();
}

/**
 * Runs random faults with workers that report their start and restart under the same id,
 * some of them under tasks that crash them.
 */
export async function playRestartingFaults(seed: number): Promise<RandomRun> {
  const crashes = new SeededRandom(seed);
  const restarts = new SeededRandom(seed + RESTART_SEED_OFFSET);
  return new RandomFaults(seed, undefined, crashes, restarts).play();
}

/**
 * Runs random faults with callers that cancel some jobs, and more faults of the store; with
 * `hasRestarts` on workers that report their start and restart under the same id.
 */
export async function playCancellingFaults(
  seed: number,
  hasRestarts = false,
): Promise<RandomRun> {
  const restarts = hasRestarts
    ? new SeededRandom(seed + RESTART_SEED_OFFSET)
    : undefined;
  const cancels = new SeededRandom(seed + CANCEL_SEED_OFFSET);
  return new RandomFaults(
    seed,
    undefined,
    undefined,
    restarts,
    false,
    cancels,
  ).play();
}

/** Separates the cancellations of a seed from its other faults. */
const CANCEL_SEED_OFFSET = 2_000_000;
const CANCELLED_JOBS_EVERY = 2;
const STORE_FAULTS = [undefined, ...Object.values(StoreFault)];
/** Separates the restarts of a seed from its other faults. */
const RESTART_SEED_OFFSET = 1_000_000;
const RESTART_ROUNDS_EVERY = 2;
const LONGEST_RESTART_MILLISECONDS = 1_500;
const LONGEST_ENTRY_DELAY_MILLISECONDS = 3_000;
const ORGANISATION = 'advisers';
const TASK_MILLICORES = 1_000;

class RandomFaults {
  private readonly random: SeededRandom;
  private readonly deployment: TestDeployment;
  private readonly daemons: TestDaemon[] = [];
  /** All daemons that were ever started. */
  private readonly started: TestDaemon[] = [];
  private readonly submitted: Submitted[] = [];
  /** Jobs of the organisation with a limit. */
  private readonly owned = new Set<string>();
  private readonly callers: CancellingCallers | undefined;
  private incarnations = 0;

  constructor(
    seed: number,
    private readonly taskLimit?: number,
    /**
     * Selects the jobs that crash workers. Separate from `random`, so that the other
     * faults stay those of the seed.
     */
    private readonly crashes?: SeededRandom,
    /** Selects the workers that restart under their id; undefined if none does. */
    private readonly restarts?: SeededRandom,
    private readonly hasPreemption = false,
    /** Selects the jobs that are cancelled, and when; undefined if none is. */
    private readonly cancels?: SeededRandom,
  ) {
    this.random = new SeededRandom(seed);
    this.deployment = new TestDeployment(WORKERS, restarts !== undefined);
    this.deployment.linkFleet();
    if (taskLimit !== undefined) this.publishLimit(taskLimit);
    if (hasPreemption) this.enablePreemption();
    if (cancels)
      this.callers = new CancellingCallers(
        this.deployment,
        this.daemons,
        cancels,
      );
  }

  private enablePreemption(): void {
    const queues = [QUEUE, OTHER_QUEUE].map(queue => [queue, SERVICE] as const);
    this.deployment.hasPreemption = true;
    this.deployment.priorities.set(OTHER_QUEUE, 1);
    this.deployment.publishConfiguration(2, new Map(queues));
  }

  private publishLimit(taskLimit: number): void {
    const limit = {
      ...NO_LIMIT,
      processorMillicores: taskLimit * TASK_MILLICORES,
    };
    const organisation = {name: ORGANISATION, keyDigests: [], weight: 1, limit};
    this.deployment.organisations = [organisation];
    this.deployment.publishConfiguration(2);
  }

  async play(): Promise<RandomRun> {
    for (let index = 0; index < DAEMONS; index++) this.startDaemon(index);
    await this.deployment.run(500);
    for (let round = 0; round < FAULT_ROUNDS; round++) {
      if (this.hasPreemption) this.submitStoppable(round);
      this.submitSome(round);
      this.fault();
      this.restartSome();
      this.faultStore();
      await this.deployment.run(200 + this.random.nextInteger(1_800));
    }
    this.heal();
    if (this.hasPreemption) await this.forceStop();
    await this.deployment.run(
      this.hasPreemption ? CALM_MILLISECONDS_FULL : CALM_MILLISECONDS,
    );
    return this.checkGuarantees();
  }

  private startDaemon(index: number): void {
    this.daemons[index]?.kill();
    const daemon = new TestDaemon(
      this.deployment,
      `daemon-${index}`,
      String(++this.incarnations),
    );
    this.daemons[index] = daemon;
    this.started.push(daemon);
    daemon.start();
  }

  private submitSome(round: number): void {
    const count = 1 + this.random.nextInteger(3);
    for (let index = 0; index < count; index++) {
      const id = `job-${round}-${index}`;
      const longRunning = this.random.nextInteger(6) === 0;
      this.deployment.behaviours.set(id, this.behaviourOf(longRunning));
      if (this.crashes?.nextInteger(CRASHING_JOBS_EVERY) === 0)
        this.deployment.behaviours.set(
          `${id}.0.0.0`,
          behaviour({crashesAfterMilliseconds: CRASH_MILLISECONDS}),
        );
      const tasks = 1 + this.random.nextInteger(3);
      const submitted = this.addJob({id, tasks, longRunning});
      // Long-running tasks would use up the limit permanently.
      if (this.taskLimit !== undefined && !longRunning && index % 2 === 0)
        this.owned.add(id);
      this.submitAndCancel(submitted, this.pickDaemon());
      // Callers that got no certain response submit again elsewhere.
      if (this.random.nextInteger(3) === 0)
        void this.submit(submitted, this.pickDaemon());
    }
  }

  /** Submits a job that its caller may cancel; a cancelled one would last. */
  private submitAndCancel(submitted: Submitted, daemon: TestDaemon): void {
    const {callers} = this;
    if (!callers || this.cancels?.nextInteger(CANCELLED_JOBS_EVERY) !== 0) {
      void this.submit(submitted, daemon);
      return;
    }
    const {id} = submitted;
    submitted.isCancelled = true;
    submitted.longRunning = true;
    this.deployment.behaviours.set(
      id,
      behaviour({durationMilliseconds: undefined}),
    );
    void callers.cancel({
      id,
      answer: this.submit(submitted, daemon),
      submitCopy: other => void this.submit(submitted, other),
    });
  }

  private submitStoppable(round: number): void {
    const id = `stoppable-${round}`;
    this.deployment.behaviours.set(
      id,
      behaviour({
        durationMilliseconds: STOPPABLE_MILLISECONDS,
        checkpointMilliseconds: 500,
      }),
    );
    const submitted = this.addJob({
      id,
      tasks: STOPPABLE_TASKS,
      longRunning: false,
      isStoppable: true,
    });
    void this.submit(submitted, this.pickDaemon());
  }

  /** Submits urgent jobs once the workers are full of stoppable work, so that some is stopped. */
  private async forceStop(): Promise<void> {
    await this.deployment.run(HEALED_MILLISECONDS);
    for (let index = 0; index < FILLING_JOBS; index++)
      this.submitStoppable(FAULT_ROUNDS + index);
    await this.deployment.run(FILL_MILLISECONDS);
    for (let index = 0; index < URGENT_JOBS; index++) this.submitUrgent(index);
  }

  private submitUrgent(index: number): void {
    const id = `urgent-${index}`;
    this.deployment.behaviours.set(
      id,
      behaviour({durationMilliseconds: URGENT_MILLISECONDS}),
    );
    const submitted = this.addJob({
      id,
      tasks: URGENT_TASKS,
      longRunning: false,
    });
    void this.submit(submitted, this.pickDaemon());
  }

  private addJob(
    fields: Pick<Submitted, 'id' | 'tasks' | 'longRunning' | 'isStoppable'>,
  ): Submitted {
    const submitted = {...fields, answers: [], attempts: 0};
    this.submitted.push(submitted);
    return submitted;
  }

  private behaviourOf(longRunning: boolean): ReturnType<typeof behaviour> {
    const fails = this.random.nextInteger(8) === 0;
    return behaviour({
      durationMilliseconds: longRunning
        ? undefined
        : 200 + this.random.nextInteger(2_500),
      end: fails ? RunEnd.Failed : RunEnd.Done,
    });
  }

  private async submit(
    submitted: Submitted,
    daemon: TestDaemon,
  ): Promise<SubmitAnswer> {
    submitted.attempts++;
    const organisation = this.owned.has(submitted.id)
      ? ORGANISATION
      : undefined;
    // A killed daemon never responds.
    const answer = await daemon.jobIntake.submit(
      {...this.submissionOf(submitted), organisation},
      SUBMIT_BOUND_MILLISECONDS,
    );
    submitted.answers.push(answer);
    return answer;
  }

  private submissionOf(submitted: Submitted): JobSubmission {
    const {id, tasks, longRunning, isStoppable = false} = submitted;
    if (!this.hasPreemption)
      return job(id, [step({taskCount: tasks, longRunning})]);
    const specification = step({
      taskCount: tasks,
      longRunning,
      checkpointing: isStoppable,
      estimatedMilliseconds: isStoppable ? STOPPABLE_MILLISECONDS : 1_000,
    });
    return {
      ...job(id, [specification]),
      queue: isStoppable ? OTHER_QUEUE : QUEUE,
      submittedAtMilliseconds: this.deployment.clock.wallMilliseconds(),
    };
  }

  private fault(): void {
    const daemon = this.pickDaemon();
    const worker = this.pickWorker();
    switch (this.random.nextInteger(7)) {
      case 0:
        this.startDaemon(this.random.nextInteger(DAEMONS));
        return;
      case 1:
        daemon.store.setFault(this.pick(Object.values(StoreFault)));
        return;
      case 2:
        daemon.store.setFault(undefined);
        return;
      case 3:
        if (worker)
          daemon.workers.setFault(
            worker,
            this.pick(
              this.hasPreemption
                ? Object.values(WorkerFault)
                : USUAL_WORKER_FAULTS,
            ),
          );
        return;
      case 4:
        for (const one of this.daemons)
          if (worker) one.workers.setFault(worker, WorkerFault.Cut);
        return;
      case 5:
        this.healWorkers();
        return;
      default:
        if (worker && this.random.nextInteger(3) === 0)
          this.deployment.crashWorker(worker);
    }
  }

  private restartSome(): void {
    const {restarts} = this;
    if (!restarts || restarts.nextInteger(RESTART_ROUNDS_EVERY) > 0) return;
    const index = restarts.nextInteger(WORKERS);
    const worker = [...this.deployment.fleet.vms.values()][index]?.workerId;
    if (!worker) return;
    this.deployment.restartWorker(
      worker,
      restarts.nextInteger(LONGEST_RESTART_MILLISECONDS),
      restarts.nextInteger(LONGEST_ENTRY_DELAY_MILLISECONDS),
    );
  }

  /** Changes the store's fault at one daemon, beside the faults of the seed. */
  private faultStore(): void {
    const {cancels} = this;
    if (!cancels) return;
    const daemon = this.daemons[cancels.nextInteger(DAEMONS)];
    const fault = STORE_FAULTS[cancels.nextInteger(STORE_FAULTS.length)];
    daemon.store.setFault(fault);
  }

  private heal(): void {
    for (const daemon of this.daemons) daemon.store.setFault(undefined);
    this.healWorkers();
  }

  private healWorkers(): void {
    for (const daemon of this.daemons)
      for (const id of this.deployment.workers.byAddress.keys())
        daemon.workers.setFault(id, undefined);
  }

  private pickDaemon(): TestDaemon {
    return this.pick(this.daemons);
  }

  private pickWorker(): string | undefined {
    const alive = [...this.deployment.workers.byAddress.values()]
      .filter(worker => !worker.isDead)
      .map(worker => worker.id);
    return alive.length > 0 ? this.pick(alive) : undefined;
  }

  private pick<Item>(items: readonly Item[]): Item {
    return items[this.random.nextInteger(items.length)];
  }

  /** Describes rounds that placed work which no event had announced. */
  private overlookedWork(): string[] {
    return this.started.flatMap(({events}) => {
      const count = events.of(LogEvent.WorkOverlooked);
      const fields = events.lastFields.get(LogEvent.WorkOverlooked);
      return count > 0
        ? [`${count} times overlooked work: ${JSON.stringify(fields)}`]
        : [];
    });
  }

  private checkGuarantees(): RandomRun {
    const runs = this.deployment.startedRuns();
    const preemptions = this.preemptionsByTask();
    const taken = this.submitted.filter(one =>
      one.answers.includes(SubmitAnswer.Accepted),
    );
    const kept = taken.filter(one => !one.isCancelled);
    return {
      violations: [
        ...overlappingRuns(runs),
        ...this.runsAfterDone(runs),
        ...this.tooManyAttempts(runs),
        ...this.refusedButStarted(runs),
        ...this.overLimit(runs),
        ...this.tooManyCrashes(runs),
        ...[...preemptions]
          .filter(([, count]) => count > MAXIMUM_PREEMPTIONS)
          .map(([task, count]) => `${task}: ${count} preemptions`),
        ...kept.flatMap(one => this.unfinished(one, runs)),
        ...(this.callers?.violations(runs) ?? []),
        ...this.overlookedWork(),
      ],
      started: runs.length,
      taken: taken.length,
      preempted: preemptions.size,
      cancelled: this.callers?.answered ?? 0,
    };
  }

  private runsAfterDone(runs: readonly StartedRun[]): string[] {
    return pairsOfRuns(runs)
      .filter(
        ([one, other]) => one.end === RunEnd.Done && this.isKnown(one, other),
      )
      .map(([one, other]) => `${one.task}: run ${other.run} after it was done`);
  }

  /**
   * Returns whether the end of `one` counts when `other` begins. An acknowledged end
   * counts permanently. Any other end is lost with its worker's incarnation, or when the
   * lease expires behind a network partition: nobody could have known of it, and the task
   * must continue elsewhere.
   */
  private isKnown(one: StartedRun, other: StartedRun): boolean {
    const acknowledged = one.acknowledgedAt ?? Infinity;
    if (acknowledged <= other.startedAt) return true;
    if (!this.outlived(one)) return false;
    const lapses = this.deployment.incarnationOf(one)?.lapses ?? [];
    const endedAt = one.endedAt ?? Infinity;
    return !lapses.some(at => at >= endedAt && at <= other.startedAt);
  }

  /**
   * Returns whether the run's worker still exists. If not, the end of the run may have
   * been lost with it, so the coordinator cannot be expected to know it.
   */
  private outlived(run: StartedRun): boolean {
    return !(this.deployment.incarnationOf(run)?.isDead ?? true);
  }

  /**
   * Describes runs that began after as many counted failures as the queue allows
   * attempts.
   */
  private tooManyAttempts(runs: readonly StartedRun[]): string[] {
    const knownFailures = new Map<StartedRun, number>();
    for (const [one, other] of pairsOfRuns(runs))
      if (one.end === RunEnd.Failed && this.isKnown(one, other))
        knownFailures.set(other, (knownFailures.get(other) ?? 0) + 1);
    return [...knownFailures]
      .filter(([, count]) => count >= MAXIMUM_ATTEMPTS)
      .map(
        ([{task, run}, count]) => `${task}: run ${run} after ${count} failures`,
      );
  }

  private tooManyCrashes(runs: readonly StartedRun[]): string[] {
    const crashing = [...this.deployment.behaviours].filter(
      ([, {crashesAfterMilliseconds}]) => crashesAfterMilliseconds,
    );
    return crashing.flatMap(([task]) => {
      const starts = startsAfterCrashes(runs, task, CRASHES_COUNTED);
      return starts > MAXIMUM_STARTS_AFTER_CRASHES
        ? [`${task}: ${starts} starts after ${CRASHES_COUNTED} crashes`]
        : [];
    });
  }

  /** Returns the highest count that was stored for each task that was chosen. */
  private preemptionsByTask(): Map<string, number> {
    const counts = new Map<string, number>();
    for (const {key, value} of this.deployment.store.history(LogStream.Jobs)) {
      const name = parseJobRecordKey(key);
      if (!name || !value) continue;
      const record = decodeJobRecord(name.kind, name.jobId, value);
      if (record.kind !== JobRecordKind.Progress) continue;
      for (const [taskKey, {preemptions}] of record.progress.tasks) {
        const task = `${name.jobId}.${taskKey}`;
        const count = Math.max(preemptions, counts.get(task) ?? 0);
        if (count > 0) counts.set(task, count);
      }
    }
    return counts;
  }

  private overLimit(runs: readonly StartedRun[]): string[] {
    const {taskLimit = Infinity} = this;
    const owned = runs.filter(run => this.owned.has(run.task.split('.')[0]));
    const most = maximumConcurrentRuns(owned);
    return most > taskLimit
      ? [`${most} tasks of the organisation at once, limit ${taskLimit}`]
      : [];
  }

  private refusedButStarted(runs: readonly StartedRun[]): string[] {
    return this.submitted
      .filter(one => one.attempts === one.answers.length)
      .filter(one => one.answers.every(a => a === SubmitAnswer.Refused))
      .filter(one => runs.some(run => run.task.startsWith(`${one.id}.`)))
      .map(one => `${one.id}: refused and run`);
  }

  /** Returns whether a task crashed often enough for its job to be given up. */
  private wasGivenUp(own: readonly StartedRun[]): boolean {
    const crashes = new Map<string, number>();
    for (const {task, end} of own)
      if (end === RunEnd.Crashed)
        crashes.set(task, (crashes.get(task) ?? 0) + 1);
    return Math.max(0, ...crashes.values()) >= CRASHES_COUNTED;
  }

  private unfinished(one: Submitted, runs: readonly StartedRun[]): string[] {
    const own = runs.filter(run => run.task.startsWith(`${one.id}.`));
    const failed = own.filter(run => run.end === RunEnd.Failed).length >= 3;
    if (failed || this.wasGivenUp(own)) return [];
    const wanted = one.longRunning
      ? own.filter(run => run.endedAt === undefined).length
      : new Set(own.filter(run => run.end === RunEnd.Done).map(run => run.task))
          .size;
    return wanted >= one.tasks
      ? []
      : [
          `${one.id}: ${wanted} of ${one.tasks} tasks, long-running ${one.longRunning}`,
        ];
  }
}

import {
  JobState,
  RunEnd,
  isFinal,
  occurrenceCount,
  taskKey,
  type JobSubmission,
  type StepSpecification,
  type TaskIndex,
} from './job.js';
import {countCrash, emptyCrashCount, type RunCrash} from './crash-count.js';
import {
  emptyTaskProgress,
  type JobProgress,
  type TaskProgress,
} from './job-progress.js';

/** A task of a job with its step. */
export interface ExecutableTask extends TaskIndex {
  readonly key: string;
  readonly specification: StepSpecification;
  readonly progress: TaskProgress;
}

/** One step of one occurrence, whose tasks become ready together. */
interface StepGroup {
  readonly occurrence: number;
  readonly step: number;
  readonly tasks: ExecutableTask[];
  remaining: number;
}

/** Returns the expected run time of a task of a step, in milliseconds. */
export type StepEstimate = (step: StepSpecification) => number;

/** Effect of the end of a run. */
export enum RunEndEffect {
  /** The run is not the task's latest one; nothing changed. */
  Stale = 'stale',
  /** The task is done. */
  TaskDone = 'task_done',
  /** The task must be started again. */
  Retry = 'again',
  /** The job has ended as a result. */
  JobEnded = 'job_ended',
}

/**
 * The coordinator's working copy of one job: determines which tasks may start and how
 * the ends of runs change the job.
 * A run is counted when it is ordered and an end when it is read, ahead of the log. If
 * an end counted only once it was stored, a failing task could start again within the
 * same round trip.
 */
export class JobExecution {
  private readonly groups = new Map<string, StepGroup>();
  private openGroups = 0;
  /** Whether a task of the job is known to have started. */
  private hasStarted: boolean;

  constructor(
    readonly job: JobSubmission,
    readonly progress: JobProgress,
  ) {
    for (let occurrence = 0; occurrence < occurrenceCount(job); occurrence++)
      job.steps.forEach((step, index) =>
        this.addGroup(occurrence, index, step),
      );
    this.hasStarted = [...progress.tasks.values()].some(showsStart);
  }

  /** Whether no task of the job starts any more. */
  get hasEnded(): boolean {
    return isFinal(this.progress.state);
  }

  /** Yields tasks whose run may be alive on a worker. */
  *liveTasks(): Iterable<ExecutableTask> {
    for (const group of this.groups.values())
      for (const task of group.tasks)
        if (task.progress.worker !== '') yield task;
  }

  /** Returns all tasks of one step of one occurrence. */
  tasksOfStep(occurrence: number, step: number): readonly ExecutableTask[] {
    return this.groups.get(groupKey(occurrence, step))?.tasks ?? [];
  }

  /** Returns the task with the key `key`, if there is one. */
  task(key: string): ExecutableTask | undefined {
    const [occurrence, step, index] = key.split('.').map(Number);
    return this.tasksOfStep(occurrence, step)[index];
  }

  /**
   * Returns the wall-clock time at which an occurrence is due; 0 for a job without
   * occurrences.
   */
  scheduledStartAt(occurrence: number): number {
    const {repeat} = this.job;
    if (!repeat) return 0;
    return (
      repeat.startAtMilliseconds + occurrence * repeat.intervalMilliseconds
    );
  }

  /**
   * Returns the tasks that may start at the wall-clock time `now`: their earlier steps
   * are done, their occurrence is due, and no run of them is alive.
   */
  readyTasks(now: number): ExecutableTask[] {
    if (this.hasEnded) return [];
    const ready: ExecutableTask[] = [];
    for (const group of this.groups.values()) {
      if (!this.isGroupReady(group, now)) continue;
      for (const task of group.tasks)
        if (!task.progress.done && task.progress.worker === '')
          ready.push(task);
    }
    return ready;
  }

  /**
   * Records that a run is about to be ordered; returns the number of the run. `term` is that of the
   * coordinator, if the outcome of the order may have to be waited for. The job counts as
   * running from here on, until it turns out that the order may not have been carried out.
   */
  beginRun(
    task: ExecutableTask,
    worker: string,
    run?: number,
    term?: number,
  ): number {
    task.progress.run = run ?? task.progress.run + 1;
    task.progress.worker = worker;
    task.progress.isStartExecuted = false;
    task.progress.orderedInTerm = term;
    this.progress.tasks.set(task.key, task.progress);
    if (this.progress.state === JobState.Queued)
      this.progress.state = JobState.Running;
    return task.progress.run;
  }

  /**
   * Makes the members of a gang, none of which is alive, continue from one checkpoint: that of any
   * member is valid for all, and they meet only with the same one.
   */
  alignCheckpoints(members: readonly ExecutableTask[]): void {
    const checkpoint = mostFrequent(
      members.map(({progress}) => progress.checkpoint),
    );
    for (const {progress} of members) progress.checkpoint = checkpoint;
  }

  /** Records that a task has started; returns whether the job counts as running from here on. */
  noteStarted(): boolean {
    this.hasStarted = true;
    if (this.progress.state !== JobState.Queued) return false;
    this.progress.state = JobState.Running;
    return true;
  }

  /**
   * Records that the order of a run is not known to have been carried out; returns whether the job
   * counts as queued again, because none of its tasks is known to have started.
   */
  noteStartInDoubt(): boolean {
    if (this.hasStarted || this.progress.state !== JobState.Running)
      return false;
    this.progress.state = JobState.Queued;
    return true;
  }

  /**
   * Records that the order of a run was carried out; returns false if that was known or the run
   * is not the task's latest one.
   */
  noteStartExecuted({progress}: ExecutableTask, run: number): boolean {
    if (progress.run !== run || progress.isStartExecuted) return false;
    progress.isStartExecuted = true;
    return true;
  }

  /**
   * Records how a run ended. `maximumAttempts` limits the number of runs that end as
   * failed.
   */
  endRun(
    task: ExecutableTask,
    run: number,
    end: RunEnd,
    checkpoint: string,
    maximumAttempts: number,
  ): RunEndEffect {
    const effect = this.closeRun(task, run);
    if (effect !== RunEndEffect.Stale && checkpoint !== '')
      task.progress.checkpoint = checkpoint;
    return effect ?? this.applyRunEnd(task, run, end, maximumAttempts);
  }

  /** Records that a worker crashed during a run. */
  crashRun(task: ExecutableTask, run: number, crash: RunCrash): RunEndEffect {
    const effect = this.closeRun(task, run);
    if (effect) return effect;
    const isGivenUp = countCrash(task.progress.crashes, crash);
    return isGivenUp ? this.fail() : RunEndEffect.Retry;
  }

  /**
   * Clears the crash count of a task after a run of it has survived for
   * `CRASH_RESET_MILLISECONDS`; returns false if there were no crashes to clear.
   */
  clearCrashes({progress}: ExecutableTask): boolean {
    if (progress.crashes.total === 0) return false;
    progress.crashes = emptyCrashCount();
    return true;
  }

  /**
   * Records the end of a run that had been given up, read once its worker was reachable
   * again: if the run is done, its task is done, and a failed run counts as an attempt.
   */
  applyLateRunEnd(
    task: ExecutableTask,
    run: number,
    end: RunEnd,
    maximumAttempts: number,
  ): RunEndEffect {
    const {progress} = task;
    const isAlive = run === progress.run && progress.worker !== '';
    if (this.hasEnded || progress.done || run > progress.run || isAlive)
      return RunEndEffect.Stale;
    if (end !== RunEnd.Done && end !== RunEnd.Failed) return RunEndEffect.Stale;
    return this.applyRunEnd(task, run, end, maximumAttempts);
  }

  /** Cancels the job at the request of a caller. */
  cancel(): void {
    if (!this.hasEnded) this.progress.state = JobState.Cancelled;
  }

  /** Ends the job as failed, since it can't be carried on. */
  giveUp(): void {
    if (!this.hasEnded) this.fail();
  }

  /** Returns the longest chain of task times over all steps, in milliseconds. */
  criticalPathMilliseconds(estimate: StepEstimate): number {
    return longestPathMilliseconds(this.job, estimate, () => true);
  }

  /**
   * Returns the longest chain of task times over `occurrence`'s open steps, in
   * milliseconds.
   */
  remainingCriticalPathMilliseconds(
    occurrence: number,
    estimate: StepEstimate,
  ): number {
    return longestPathMilliseconds(
      this.job,
      estimate,
      step => (this.groups.get(groupKey(occurrence, step))?.remaining ?? 0) > 0,
    );
  }

  /** Returns the sum of `workOfTask` over the open tasks of `occurrence`. */
  remainingWork(occurrence: number, workOfTask: StepEstimate): number {
    return this.job.steps.reduce((sum, step, index) => {
      const open = this.groups.get(groupKey(occurrence, index))?.remaining ?? 0;
      return sum + open * workOfTask(step);
    }, 0);
  }

  /**
   * Returns the wall-clock time of the next occurrence that is not due yet; undefined
   * if there is none.
   */
  nextScheduledStartAfter(now: number): number | undefined {
    if (!this.job.repeat || this.hasEnded) return undefined;
    for (let occurrence = 0; occurrence < this.job.repeat.count; occurrence++)
      if (this.scheduledStartAt(occurrence) > now)
        return this.scheduledStartAt(occurrence);
    return undefined;
  }

  /**
   * Records that a run has ended; returns undefined if the effect depends on how it
   * ended.
   */
  private closeRun(
    task: ExecutableTask,
    run: number,
  ): RunEndEffect | undefined {
    const {progress} = task;
    if (progress.run !== run || progress.worker === '')
      return RunEndEffect.Stale;
    progress.worker = '';
    if (this.hasEnded) return RunEndEffect.JobEnded;
    // An earlier run turned out to be done while this one was alive.
    return progress.done ? RunEndEffect.TaskDone : undefined;
  }

  private applyRunEnd(
    task: ExecutableTask,
    run: number,
    end: RunEnd,
    maximumAttempts: number,
  ): RunEndEffect {
    if (end === RunEnd.Lost) this.noteStartInDoubt();
    else this.noteStarted();
    const {longRunning} = task.specification;
    if (end === RunEnd.Done && !longRunning) return this.completeRun(task);
    if (end !== RunEnd.Failed || longRunning) return RunEndEffect.Retry;
    const {failedRuns} = task.progress;
    if (!failedRuns.includes(run)) failedRuns.push(run);
    return failedRuns.length < maximumAttempts
      ? RunEndEffect.Retry
      : this.fail();
  }

  /**
   * Fails the job if a task has failed as often as it may; returns whether it did. Needed when the
   * limit was not known at the last failure.
   */
  failIfExhausted(maximumAttempts: number): boolean {
    if (this.hasEnded) return false;
    const tasks = [...this.groups.values()].flatMap(group => group.tasks);
    const isExhausted = tasks.some(
      ({progress, specification}) =>
        !progress.done &&
        !specification.longRunning &&
        progress.failedRuns.length >= maximumAttempts,
    );
    if (isExhausted) this.fail();
    return isExhausted;
  }

  private fail(): RunEndEffect {
    this.progress.state = JobState.Failed;
    return RunEndEffect.JobEnded;
  }

  private addGroup(
    occurrence: number,
    step: number,
    specification: StepSpecification,
  ): void {
    const tasks: ExecutableTask[] = [];
    let remaining = 0;
    for (let index = 0; index < specification.taskCount; index++) {
      const key = taskKey({occurrence, step, index});
      const progress = this.progress.tasks.get(key) ?? emptyTaskProgress();
      if (!progress.done) remaining++;
      tasks.push({occurrence, step, index, key, specification, progress});
    }
    this.groups.set(groupKey(occurrence, step), {
      occurrence,
      step,
      tasks,
      remaining,
    });
    if (remaining > 0) this.openGroups++;
  }

  private isGroupReady(group: StepGroup, now: number): boolean {
    if (group.remaining === 0) return false;
    if (now < this.scheduledStartAt(group.occurrence)) return false;
    return this.job.steps[group.step].after.every(
      earlier =>
        this.groups.get(groupKey(group.occurrence, earlier))?.remaining === 0,
    );
  }

  /** A gang is done as soon as the run of one of its members is done. */
  private completeRun(task: ExecutableTask): RunEndEffect {
    if (!task.specification.gang) return this.completeTask(task);
    let effect = RunEndEffect.TaskDone;
    for (const member of this.tasksOfStep(task.occurrence, task.step)) {
      if (member.progress.done) continue;
      member.progress.worker = '';
      effect = this.completeTask(member);
    }
    return effect;
  }

  private completeTask(task: ExecutableTask): RunEndEffect {
    task.progress.done = true;
    const group = this.groups.get(groupKey(task.occurrence, task.step));
    if (group && --group.remaining === 0) this.openGroups--;
    if (this.openGroups > 0) return RunEndEffect.TaskDone;
    this.progress.state = JobState.Completed;
    return RunEndEffect.JobEnded;
  }
}

/** Returns whether the record of a task shows that a run of it has started. */
function showsStart(task: TaskProgress): boolean {
  return (
    task.done ||
    task.isStartExecuted ||
    task.failedRuns.length > 0 ||
    task.checkpoint !== ''
  );
}

function longestPathMilliseconds(
  job: JobSubmission,
  estimate: StepEstimate,
  isIncluded: (step: number) => boolean,
): number {
  const length: number[] = [];
  job.steps.forEach((step, index) => {
    const own = isIncluded(index) ? estimate(step) : 0;
    const before = step.after.map(earlier => length[earlier] ?? 0);
    length.push(own + Math.max(0, ...before));
  });
  return Math.max(0, ...length);
}

/** Returns the value that occurs most often, the first one of several; empty ones do not count. */
function mostFrequent(values: readonly string[]): string {
  const counts = new Map<string, number>();
  for (const value of values)
    if (value !== '') counts.set(value, (counts.get(value) ?? 0) + 1);
  const highest = Math.max(0, ...counts.values());
  return values.find(value => counts.get(value) === highest) ?? '';
}

function groupKey(occurrence: number, step: number): string {
  return `${occurrence}.${step}`;
}

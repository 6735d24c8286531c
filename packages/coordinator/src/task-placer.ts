import type {ExecutableTask, JobExecution} from '@gentiandoor/jobs';
import {PlacementShortage, type PlacementMisses} from '@gentiandoor/scheduling';
import type {DispatchHost} from './dispatch-host.js';
import {RunStatus, newLiveRun, stepName, taskName} from './live-run.js';
import type {PlacementRound, TaskPlacementRequest} from './placement-round.js';
import type {PlacementSchedule} from './placement-schedule.js';
import {
  RoundLimit,
  type RoundOutcome,
  type WaitReason,
} from './round-outcome.js';
import type {RunPreemption} from './run-preemption.js';
import type {WaitingLoadCounter} from './service-load.js';
import type {TaskFailures} from './task-failures.js';
import {groupsOf} from './task-groups.js';
import type {PlacementCandidate} from './waiting-jobs.js';
import {reportsStart} from './worker-incarnation.js';
import type {WorkerSession} from './worker-session.js';

/** State of one placement round of a service. */
export interface ServicePlacement {
  readonly service: string;
  readonly round: PlacementRound;
  /** Sums up the tasks that could not be placed. */
  readonly waitingLoad: WaitingLoadCounter;
  readonly now: number;
  /** Steps that found the pool full; what they rule out is only counted as waiting. */
  readonly misses: PlacementMisses;
  /** Jobs of which some tasks could not be placed; those that wait for a limit are left out. */
  readonly unplaced: PlacementCandidate[];
  readonly outcome: RoundOutcome;
}

/** Dependencies of a task placer. */
export interface TaskPlacerParts {
  readonly host: DispatchHost;
  readonly schedule: PlacementSchedule;
  readonly failures: TaskFailures;
  /** Undefined if no run is stopped for other work. */
  readonly preemption: RunPreemption | undefined;
  /** Returns the expected run time of a task in milliseconds. */
  readonly expectedTime: (
    execution: JobExecution,
    task: ExecutableTask,
  ) => number;
  readonly serviceOf: (execution: JobExecution) => string;
}

/** Places the ready tasks of one job after the other during a placement round. */
export class TaskPlacer {
  constructor(private readonly parts: TaskPlacerParts) {}

  /** Returns whether a task would have to be isolated from other jobs' tasks if it started now. */
  mustIsolate(execution: JobExecution, task: ExecutableTask): boolean {
    const {total} = task.progress.crashes;
    if (total === 0) return false;
    const name = taskName(execution.job.id, task);
    return this.parts.failures.mustIsolate(name, total);
  }

  /** Places the ready tasks of a job. */
  place(placement: ServicePlacement, candidate: PlacementCandidate): void {
    const {service, round, waitingLoad, now, misses, outcome} = placement;
    let isWaiting = false;
    const {execution} = candidate;
    /** Why steps of the job wait. */
    const reasons = new Map<string, WaitReason>();
    for (const tasks of groupsOf(candidate.ready)) {
      if (!this.mayOrder(tasks)) {
        this.parts.schedule.requestAfterOrders(service);
        outcome.noteWaiting(tasks, RoundLimit.OrdersInFlight);
        isWaiting = true;
        continue;
      }
      // Tasks that wait for a limit do not count as waiting load, since more VMs would not help.
      if (!this.parts.host.organisationLimitAllows(execution, tasks, service)) {
        outcome.noteWaiting(tasks, RoundLimit.Organisation);
        continue;
      }
      const key = stepName(execution.job.id, tasks[0]);
      const isRuledOut = misses.ruleOut(tasks[0].specification);
      const isPlaced =
        !isRuledOut &&
        !reasons.has(key) &&
        this.placeTogether(round, candidate, tasks, now);
      if (isPlaced) {
        outcome.notePlaced(tasks);
        continue;
      }
      this.retryIsolated(service, candidate, tasks);
      let reason = isRuledOut ? RoundLimit.Misses : reasons.get(key);
      if (reason === undefined) {
        const request = this.placementRequestOf(execution, tasks[0], now);
        const shortage = round.shortageOf(request);
        // A group that must start together may lack capacity that a smaller one finds.
        const saysSize =
          tasks.length === 1 || shortage === PlacementShortage.Capacity;
        if (saysSize && round.indicatesFullPool(shortage))
          misses.note(tasks[0].specification);
        if (shortage === PlacementShortage.Restricted)
          this.parts.schedule.retryRestricted(service);
        reason = shortage;
      }
      reasons.set(key, reason);
      outcome.noteWaiting(tasks, reason);
      if (!isRuledOut)
        this.parts.preemption?.noteUnplaced(
          candidate,
          tasks,
          this.placementRequestOf(execution, tasks[0], now),
        );
      if (this.parts.host.fleetCanRun(tasks[0].specification, service))
        waitingLoad.note(candidate, tasks);
      isWaiting = true;
    }
    if (isWaiting) placement.unplaced.push(candidate);
  }

  private retryIsolated(
    service: string,
    {execution}: PlacementCandidate,
    tasks: readonly ExecutableTask[],
  ): void {
    if (tasks.some(task => this.mustIsolate(execution, task)))
      this.parts.schedule.retryRestricted(service);
  }

  /**
   * Returns whether tasks may be ordered now. Long-running tasks are few and their absence is
   * noticed at once, so they do not wait behind the orders of a load peak.
   */
  private mayOrder(tasks: readonly ExecutableTask[]): boolean {
    const {longRunning} = tasks[0].specification;
    return longRunning || this.parts.host.mayOrder(tasks.length);
  }

  private placementRequestOf(
    execution: JobExecution,
    task: ExecutableTask,
    now: number,
  ): TaskPlacementRequest {
    const name = taskName(execution.job.id, task);
    return {
      stepKey: stepName(execution.job.id, task),
      step: task.specification,
      job: execution.job.id,
      avoid: this.parts.failures.avoidanceOf(name, now),
      isIsolated: this.mustIsolate(execution, task),
    };
  }

  /** Places all of `tasks` or none of them. */
  private placeTogether(
    round: PlacementRound,
    {execution, weight}: PlacementCandidate,
    tasks: readonly ExecutableTask[],
    now: number,
  ): boolean {
    const chosen: Array<{session: WorkerSession; isIsolated: boolean}> = [];
    for (const task of tasks) {
      const request = this.placementRequestOf(execution, task, now);
      const session = round.reserve(request);
      if (!session) {
        round.rollBack();
        return false;
      }
      chosen.push({session, isIsolated: request.isIsolated});
    }
    round.commit();
    this.parts.schedule.noteServed(this.parts.serviceOf(execution));
    const {gang} = tasks[0].specification;
    if (gang) execution.alignCheckpoints(tasks);
    const gangRun = gang
      ? 1 + Math.max(...tasks.map(task => task.progress.run))
      : undefined;
    tasks.forEach((task, index) => {
      const {session, isIsolated} = chosen[index];
      const run = newLiveRun(execution, task, {
        run: execution.beginRun(
          task,
          session.id,
          gangRun,
          reportsStart(session.entry) ? this.parts.host.term : undefined,
        ),
        plannedAt: now,
        weight,
        expectedMilliseconds: this.parts.expectedTime(execution, task),
        stopsOnStall: this.parts.failures.stopsOnStall(
          taskName(execution.job.id, task),
        ),
        isIsolated,
        status: RunStatus.Planned,
        orderAnsweredAt: Infinity,
      });
      this.parts.host.launch(session, run);
    });
    return true;
  }
}

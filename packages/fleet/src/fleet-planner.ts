import {JobPlacer} from './job-placer.js';
import {MaintenanceCalendar} from './maintenance-calendar.js';
import {MaintenanceTracker} from './maintenance-tracker.js';
import {MovePlanner} from './move-planner.js';
import type {PlannerPart} from './planner-input.js';
import {Rebalancer} from './rebalancer.js';
import {RepairPlanner} from './repair-planner.js';
import {SizeLearner} from './size-learner.js';
import {VmObserver} from './vm-observer.js';
import {WavePlanner} from './wave-planner.js';
import {WorkerFailures} from './worker-failures.js';

/** What a deployment chooses. */
export interface FleetPlannerOptions {
  /** Each VM is maintained once in this many days by waves that start themselves. */
  readonly calendarDays?: number;
}

/** All parts of the planning with what they share. */
export class FleetPlanner {
  readonly sizes = new SizeLearner();
  readonly failures = new WorkerFailures();
  readonly moves = new MovePlanner();
  readonly placer = new JobPlacer(this.sizes, this.failures);
  /** In the order in which they plan: what was seen comes before what follows from it. */
  readonly parts: readonly PlannerPart[];

  /** With a period in days, waves are started by the calendar, too. */
  constructor(options: FleetPlannerOptions = {}) {
    const {calendarDays} = options;
    this.parts = [
      ...this.standardParts(),
      ...(calendarDays === undefined
        ? []
        : [new MaintenanceCalendar(calendarDays)]),
    ];
  }

  private standardParts(): PlannerPart[] {
    return [
      new VmObserver(),
      new MaintenanceTracker(),
      this.moves,
      new RepairPlanner(),
      new Rebalancer(),
      new WavePlanner(),
      this.placer,
    ];
  }
}

import {JobPlacer} from './job-placer.js';
import {MaintenanceScheduler} from './maintenance-scheduler.js';
import {MaintenanceWorkflow} from './maintenance-workflow.js';
import {MovePlanner} from './move-planner.js';
import type {PlanningStage} from './planner-input.js';
import {Rebalancer} from './rebalancer.js';
import {RepairPlanner} from './repair-planner.js';
import {JobSizeEstimator} from './job-size-estimator.js';
import {VmObserver} from './vm-observer.js';
import {WavePlanner} from './wave-planner.js';
import {FaultyVmDetector} from './faulty-vm-detector.js';

/** What a deployment chooses. */
export interface FleetPlannerOptions {
  /** Each VM is maintained once in this many days by waves that start themselves. */
  readonly maintenancePeriodDays?: number;
}

/** All parts of the planning with what they share. */
export class FleetPlanner {
  readonly jobSizeEstimator = new JobSizeEstimator();
  readonly faultyVmDetector = new FaultyVmDetector();
  readonly movePlanner = new MovePlanner();
  readonly jobPlacer = new JobPlacer(
    this.jobSizeEstimator,
    this.faultyVmDetector,
  );
  /** In the order in which they plan: what was seen comes before what follows from it. */
  readonly stages: readonly PlanningStage[];

  /** With a period in days, waves are started by the calendar, too. */
  constructor(options: FleetPlannerOptions = {}) {
    const {maintenancePeriodDays: calendarDays} = options;
    this.stages = [
      ...this.standardStages(),
      ...(calendarDays === undefined
        ? []
        : [new MaintenanceScheduler(calendarDays)]),
    ];
  }

  private standardStages(): PlanningStage[] {
    return [
      new VmObserver(),
      new MaintenanceWorkflow(),
      this.movePlanner,
      new RepairPlanner(),
      new Rebalancer(),
      new WavePlanner(),
      this.jobPlacer,
    ];
  }
}

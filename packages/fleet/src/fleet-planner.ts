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

/** Options of a deployment. */
export interface FleetPlannerOptions {
  /** Period in days in which automatic waves maintain each VM once. */
  readonly maintenancePeriodDays?: number;
}

/** All stages of planning, with the state that they share. */
export class FleetPlanner {
  readonly jobSizeEstimator = new JobSizeEstimator();
  readonly faultyVmDetector = new FaultyVmDetector();
  readonly movePlanner = new MovePlanner();
  readonly jobPlacer = new JobPlacer(
    this.jobSizeEstimator,
    this.faultyVmDetector,
  );
  /** In planning order: stages that record observations come before those that act on them. */
  readonly stages: readonly PlanningStage[];

  /** If a maintenance period is given, waves are also started on schedule. */
  constructor(options: FleetPlannerOptions = {}) {
    const {maintenancePeriodDays} = options;
    this.stages = [
      ...this.standardStages(),
      ...(maintenancePeriodDays === undefined
        ? []
        : [new MaintenanceScheduler(maintenancePeriodDays)]),
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

import {JobPlacer} from './job-placer.js';
import {MaintenanceTracker} from './maintenance-tracker.js';
import {MovePlanner} from './move-planner.js';
import type {PlannerPart} from './planner-input.js';
import {Rebalancer} from './rebalancer.js';
import {RepairPlanner} from './repair-planner.js';
import {SizeLearner} from './size-learner.js';
import {VmObserver} from './vm-observer.js';
import {WavePlanner} from './wave-planner.js';
import {WorkerFailures} from './worker-failures.js';

/** All parts of the planning with what they share. */
export class FleetPlanner {
  readonly sizes = new SizeLearner();
  readonly failures = new WorkerFailures();
  readonly moves = new MovePlanner();
  /** In the order in which they plan: what was seen comes before what follows from it. */
  readonly parts: readonly PlannerPart[] = [
    new VmObserver(),
    new MaintenanceTracker(),
    this.moves,
    new RepairPlanner(),
    new Rebalancer(),
    new WavePlanner(),
    new JobPlacer(this.sizes, this.failures),
  ];
}

import type {Plugin} from '@gentiandoor/kernel';
import type {DrainAcknowledger} from './drain-acknowledger.js';
import type {FleetRoutes} from './fleet-routes.js';
import type {JobRoutes} from './job-routes.js';
import type {MemberRoutes} from './member-routes.js';
import type {PlannerLoop} from './planner-loop.js';

/** Components that the service depends on. */
export interface FleetServiceDependencies {
  readonly plannerLoop: PlannerLoop;
  readonly drainAcknowledger: DrainAcknowledger;
  readonly fleetRoutes: FleetRoutes;
  readonly jobRoutes: JobRoutes;
  readonly memberRoutes: MemberRoutes;
}

/** Runs the fleet plug-in of a daemon: planner, acknowledgements and admin paths. */
export class FleetService implements Plugin {
  private readonly dependencies: FleetServiceDependencies;

  constructor(dependencies: FleetServiceDependencies) {
    const {
      plannerLoop,
      drainAcknowledger,
      fleetRoutes,
      jobRoutes,
      memberRoutes,
    } = dependencies;
    this.dependencies = {
      plannerLoop,
      drainAcknowledger,
      fleetRoutes,
      jobRoutes,
      memberRoutes,
    };
  }

  async start(): Promise<void> {
    this.dependencies.plannerLoop.start();
    this.dependencies.drainAcknowledger.start();
  }

  /** Stops planning; acknowledgements continue while exchanges finish. */
  async drain(): Promise<void> {
    await this.dependencies.plannerLoop.stop();
  }

  async stop(): Promise<void> {
    await this.dependencies.plannerLoop.stop();
    await this.dependencies.drainAcknowledger.stop();
  }
}

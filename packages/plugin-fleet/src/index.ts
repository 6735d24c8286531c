import {asClass, asFunction, asValue, type AwilixContainer} from 'awilix';
import {FleetPlanner} from '@gentiandoor/fleet';
import type {PluginRegistry} from '@gentiandoor/kernel';
import {DrainAcknowledger} from './drain-acknowledger.js';
import {
  NoLeaseClient,
  NoVmActions,
  NoVmHealth,
  NoRoutingDrain,
} from './fallbacks.js';
import {fleetOptions, type FleetOptions} from './fleet-options.js';
import {FleetRoutes} from './fleet-routes.js';
import {FleetService} from './fleet-service.js';
import {JobRoutes} from './job-routes.js';
import {JobRunner} from './job-runner.js';
import {MemberRoutes} from './member-routes.js';
import {PlannerLoop} from './planner-loop.js';
import {FleetPublisher} from './fleet-publisher.js';
import {WaveForecasts} from './wave-forecasts.js';

export * from './admin-shapes.js';
export {DrainAcknowledger} from './drain-acknowledger.js';
export * from './fallbacks.js';
export {JobRunner, taskId} from './job-runner.js';
export {PlannerLoop} from './planner-loop.js';
export {FleetPublisher} from './fleet-publisher.js';
export {WaveForecasts} from './wave-forecasts.js';

/** Registers the fleet plug-in: planner, moves, waves, repair, jobs and their admin paths. */
export function registerFleet(registry: PluginRegistry): void {
  registry.add({
    name: 'fleet',
    options: fleetOptions,
    registrationName: 'fleet',
    register(container, options) {
      container.register({
        fleetOptions: asValue(options),
        fleetPlanner: asFunction(makePlanner).singleton(),
        fleetPublisher: asClass(FleetPublisher).singleton(),
        waveForecasts: asClass(WaveForecasts).singleton(),
        jobRunner: asClass(JobRunner).singleton(),
        plannerLoop: asClass(PlannerLoop).singleton(),
        drainAcknowledger: asClass(DrainAcknowledger).singleton(),
        fleetRoutes: asClass(FleetRoutes).singleton(),
        jobRoutes: asClass(JobRoutes).singleton(),
        memberRoutes: asClass(MemberRoutes).singleton(),
        fleet: asClass(FleetService).singleton(),
      });
      registerFallbacks(container);
    },
  });
}

function makePlanner(dependencies: {
  readonly fleetOptions: FleetOptions;
}): FleetPlanner {
  const {automatic_waves: isAutomatic, maintenance_period_days: periodDays} =
    dependencies.fleetOptions;
  return new FleetPlanner({
    maintenancePeriodDays: isAutomatic ? periodDays : undefined,
  });
}

/** Registers fallbacks; what another plug-in registered earlier stays in place. */
function registerFallbacks(container: AwilixContainer): void {
  const fallbacks = {
    routingDrain: NoRoutingDrain,
    vmHealth: NoVmHealth,
    vmActions: NoVmActions,
    leaseClient: NoLeaseClient,
  };
  for (const [name, Fallback] of Object.entries(fallbacks)) {
    if (container.hasRegistration(name)) continue;
    container.register(name, asClass(Fallback as new () => object).singleton());
  }
}

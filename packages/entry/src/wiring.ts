import {randomInt, randomUUID} from 'node:crypto';
import {asFunction, createContainer, InjectionMode} from 'awilix';
import {
  DaemonReadiness,
  JobFrontDesk,
  JobStreams,
  OperatorView,
  SubmissionLog,
  type CoordinatorParts,
  type EntrySettings,
} from '@gentiandoor/coordinator';
import {JobTable} from '@gentiandoor/jobs';
import {AccessGuard} from '@gentiandoor/organisations';
import {
  BoundedLogger,
  DrainState,
  LifeCycle,
  LogLevel,
  PinoLogger,
  SeededRandom,
  SystemClock,
  splitAddress,
  type Clock,
  type Logger,
  type NamedPlugin,
  type RandomSource,
} from '@gentiandoor/kernel';
import {
  CallerRoutes,
  HttpCalls,
  PlatformMachines,
  PlatformRecords,
  PlatformStore,
  PlatformWorkers,
} from '@gentiandoor/platform';
import {PrometheusMetrics} from '@gentiandoor/plugin-metrics';
import {CoordinatorPlugin} from './coordinator-plugin.js';
import {HttpServerPlugin} from './http-server.js';
import {JobLogPlugin} from './job-log-plugin.js';
import {METRICS_PORT, metricsListener} from './metrics-listener.js';
import {readinessListener} from './readiness-listener.js';

const SEED_BOUND = 2 ** 31;
/** Long waits hold up to nine connections to the store, one for each stream and partition that is followed, while appends and reads need others. */
const STORE_CONNECTIONS = 20;
/** One for a poll that waits, the others for starts. */
const WORKER_CONNECTIONS = 4;

/** Everything that a daemon on the platform is made of. */
export interface EntryParts {
  settings: EntrySettings;
  clock: Clock;
  random: RandomSource;
  logger: Logger;
  metrics: PrometheusMetrics;
  metricsPort: HttpServerPlugin;
  drainState: DrainState;
  storeCalls: HttpCalls;
  workerCalls: HttpCalls;
  log: PlatformStore;
  formats: PlatformRecords;
  workers: PlatformWorkers;
  machines: PlatformMachines;
  operators: OperatorView;
  table: JobTable;
  jobs: JobStreams;
  submissions: SubmissionLog;
  desk: JobFrontDesk;
  guard: AccessGuard;
  routes: CallerRoutes;
  callers: HttpServerPlugin;
  daemonReadiness: DaemonReadiness;
  readiness: HttpServerPlugin;
  jobLog: JobLogPlugin;
  coordinator: CoordinatorPlugin;
  lifeCycle: LifeCycle;
}

/** What tests change of a daemon. */
export interface EntryOverrides {
  readonly metricsPort?: number;
}

/** Wires a daemon; the only place where its parts are joined. */
export function wireEntry(
  settings: EntrySettings,
  overrides: EntryOverrides = {},
): EntryParts {
  const container = createContainer<EntryParts>({
    injectionMode: InjectionMode.PROXY,
    strict: true,
  });
  const single = <Part>(make: (parts: EntryParts) => Part) =>
    asFunction(make).singleton();
  container.register({
    settings: single(() => settings),
    clock: single(() => new SystemClock()),
    random: single(() => new SeededRandom(randomInt(SEED_BOUND))),
    logger: single(
      ({clock}) =>
        new BoundedLogger(
          new PinoLogger(LogLevel.Info, {node: settings.node}),
          clock,
        ),
    ),
    metrics: single(() => new PrometheusMetrics()),
    metricsPort: single(
      parts =>
        new HttpServerPlugin(
          `${splitAddress(settings.callerAddress).host}:${overrides.metricsPort ?? METRICS_PORT}`,
          metricsListener(parts.metrics),
        ),
    ),
    drainState: single(() => new DrainState()),
    storeCalls: single(() => new HttpCalls(STORE_CONNECTIONS)),
    workerCalls: single(() => new HttpCalls(WORKER_CONNECTIONS)),
    log: single(
      parts => new PlatformStore(parts.storeCalls, () => settings.storeAddress),
    ),
    formats: single(() => new PlatformRecords()),
    workers: single(parts => new PlatformWorkers(parts.workerCalls)),
    machines: single(
      parts =>
        new PlatformMachines(
          parts.storeCalls,
          () => settings.machineListAddress,
        ),
    ),
    operators: single(
      ({log, formats, clock, logger}) =>
        new OperatorView(log, formats, clock, logger),
    ),
    table: single(() => new JobTable()),
    jobs: single(
      ({log, table, clock, logger}) =>
        new JobStreams(log, table, clock, logger),
    ),
    submissions: single(({log, clock}) => new SubmissionLog(log, clock)),
    desk: single(
      ({table, jobs, submissions, operators, clock, logger, metrics}) =>
        new JobFrontDesk(
          table,
          jobs,
          submissions,
          operators.organisations,
          clock,
          logger,
          metrics,
        ),
    ),
    daemonReadiness: single(
      ({operators, desk, drainState}) =>
        new DaemonReadiness(operators, desk, () => drainState.isDraining),
    ),
    guard: single(
      ({operators, clock}) =>
        new AccessGuard(
          operators,
          {
            inForce: settings.limits.configurationInForce,
            stretch: settings.limits.stretch,
          },
          clock,
        ),
    ),
    routes: single(
      ({desk, operators, guard, clock, logger, metrics, daemonReadiness}) =>
        new CallerRoutes({
          desk,
          operators,
          guard,
          clock,
          logger,
          metrics,
          sendsCallersAway: () => !daemonReadiness.isReady,
        }),
    ),
    callers: single(
      parts =>
        new HttpServerPlugin(
          settings.callerAddress,
          parts.routes.app.callback(),
        ),
    ),
    readiness: single(
      parts =>
        new HttpServerPlugin(
          settings.readinessAddress,
          readinessListener(parts.daemonReadiness),
        ),
    ),
    jobLog: single(
      parts => new JobLogPlugin(parts.jobs, parts.clock, parts.random),
    ),
    coordinator: single(
      parts =>
        new CoordinatorPlugin(
          coordinatorParts(parts),
          parts.random,
          randomUUID(),
        ),
    ),
    lifeCycle: single(parts => new LifeCycle(pluginsOf(parts), parts.logger)),
  });
  return container.cradle;
}

function coordinatorParts(parts: EntryParts): CoordinatorParts {
  const {settings, log, formats, workers, machines} = parts;
  const {operators, table, jobs, submissions} = parts;
  const {clock, logger, metrics} = parts;
  return {
    settings,
    log,
    formats,
    workers,
    machines,
    operators,
    table,
    jobs,
    submissions,
    clock,
    logger,
    metrics,
  };
}

/** Parts in the order in which they start. */
function pluginsOf(parts: EntryParts): NamedPlugin[] {
  const operators = {
    start: async () => parts.operators.start(),
    stop: async () => parts.operators.stop(),
  };
  return [
    {name: 'metrics', plugin: parts.metricsPort},
    {name: 'operators', plugin: operators},
    {name: 'job log', plugin: parts.jobLog},
    {name: 'callers', plugin: parts.callers},
    {name: 'readiness', plugin: parts.readiness},
    {name: 'coordinator', plugin: parts.coordinator},
  ];
}

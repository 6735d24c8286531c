import {randomInt, randomUUID} from 'node:crypto';
import {asFunction, createContainer, InjectionMode} from 'awilix';
import {
  DaemonReadiness,
  JobIntake,
  JobStreams,
  OperatorView,
  SubmissionLog,
  type CoordinatorParts,
  type EntrySettings,
} from '@gentiandoor/coordinator';
import {JobTable} from '@gentiandoor/jobs';
import {AccessGuard} from '@gentiandoor/organisations';
import {
  RateLimitedLogger,
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
  HttpClient,
  PlatformVmGateway,
  PlatformRecordFormats,
  PlatformStore,
  PlatformWorkerGateway,
} from '@gentiandoor/platform';
import {PrometheusMetrics} from '@gentiandoor/plugin-metrics';
import {CoordinatorPlugin} from './coordinator-plugin.js';
import {HttpServerPlugin} from './http-server-plugin.js';
import {JobTableRefreshPlugin} from './job-table-refresh-plugin.js';
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
  metricsServer: HttpServerPlugin;
  drainState: DrainState;
  storeClient: HttpClient;
  workerClient: HttpClient;
  log: PlatformStore;
  formats: PlatformRecordFormats;
  workers: PlatformWorkerGateway;
  vmGateway: PlatformVmGateway;
  operators: OperatorView;
  table: JobTable;
  jobs: JobStreams;
  submissions: SubmissionLog;
  jobIntake: JobIntake;
  accessGuard: AccessGuard;
  callerRoutes: CallerRoutes;
  callerServer: HttpServerPlugin;
  daemonReadiness: DaemonReadiness;
  readinessServer: HttpServerPlugin;
  jobTableRefresh: JobTableRefreshPlugin;
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
        new RateLimitedLogger(
          new PinoLogger(LogLevel.Info, {node: settings.node}),
          clock,
        ),
    ),
    metrics: single(() => new PrometheusMetrics()),
    metricsServer: single(
      parts =>
        new HttpServerPlugin(
          `${splitAddress(settings.callerAddress).host}:${overrides.metricsPort ?? METRICS_PORT}`,
          metricsListener(parts.metrics),
        ),
    ),
    drainState: single(() => new DrainState()),
    storeClient: single(() => new HttpClient(STORE_CONNECTIONS)),
    workerClient: single(() => new HttpClient(WORKER_CONNECTIONS)),
    log: single(
      parts =>
        new PlatformStore(parts.storeClient, () => settings.storeAddress),
    ),
    formats: single(() => new PlatformRecordFormats()),
    workers: single(parts => new PlatformWorkerGateway(parts.workerClient)),
    vmGateway: single(
      parts =>
        new PlatformVmGateway(
          parts.storeClient,
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
    jobIntake: single(
      ({table, jobs, submissions, operators, clock, logger, metrics}) =>
        new JobIntake(
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
      ({operators, jobIntake: desk, drainState}) =>
        new DaemonReadiness(operators, desk, () => drainState.isDraining),
    ),
    accessGuard: single(
      ({operators, clock}) =>
        new AccessGuard(
          operators,
          {
            configurationInForceMilliseconds:
              settings.limits.configurationInForce,
            extensionMilliseconds: settings.limits.stretch,
          },
          clock,
        ),
    ),
    callerRoutes: single(
      ({
        jobIntake: desk,
        operators,
        accessGuard: guard,
        clock,
        logger,
        metrics,
        daemonReadiness,
      }) =>
        new CallerRoutes({
          jobIntake: desk,
          operators,
          accessGuard: guard,
          clock,
          logger,
          metrics,
          shouldCloseConnections: () => !daemonReadiness.isReady,
        }),
    ),
    callerServer: single(
      parts =>
        new HttpServerPlugin(
          settings.callerAddress,
          parts.callerRoutes.app.callback(),
        ),
    ),
    readinessServer: single(
      parts =>
        new HttpServerPlugin(
          settings.readinessAddress,
          readinessListener(parts.daemonReadiness),
        ),
    ),
    jobTableRefresh: single(
      parts => new JobTableRefreshPlugin(parts.jobs, parts.clock, parts.random),
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
  const {settings, log, formats, workers, vmGateway} = parts;
  const {operators, table, jobs, submissions} = parts;
  const {clock, logger, metrics} = parts;
  return {
    settings,
    log,
    formats,
    workers,
    vmGateway,
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
    {name: 'metrics', plugin: parts.metricsServer},
    {name: 'operators', plugin: operators},
    {name: 'job log', plugin: parts.jobTableRefresh},
    {name: 'callers', plugin: parts.callerServer},
    {name: 'readiness', plugin: parts.readinessServer},
    {name: 'coordinator', plugin: parts.coordinator},
  ];
}

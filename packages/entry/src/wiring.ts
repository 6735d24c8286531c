import {randomInt, randomUUID} from 'node:crypto';
import {asFunction, createContainer, InjectionMode} from 'awilix';
import {FeasibilityAdmission} from '@gentiandoor/admission';
import {
  DaemonReadiness,
  JobAdmission,
  JobIntake,
  JobStreams,
  OperatorView,
  PressureFollower,
  SubmissionLog,
  type CoordinatorParts,
  type EntrySettings,
} from '@gentiandoor/coordinator';
import {JobTable} from '@gentiandoor/jobs';
import {AccessGuard} from '@gentiandoor/organisations';
import {
  BodyBudget,
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
import {ServerGuard} from './caller-limits/server-guard.js';
import {
  OWN_SERVER_LIMITS,
  bodyBudgetBytes,
  callerServerLimits,
  type ServerLimits,
} from './caller-limits/server-limits.js';
import {CoordinatorPlugin} from './coordinator-plugin.js';
import {HttpServerPlugin} from './http-server-plugin.js';
import {JobTableRefreshPlugin} from './job-table-refresh-plugin.js';
import {METRICS_PORT, metricsListener} from './metrics-listener.js';
import {readinessListener} from './readiness-listener.js';

const SEED_BOUND = 2 ** 31;
/**
 * Long polls hold up to ten connections to the store, one for each stream and partition that is
 * followed; appends and reads need others.
 */
const STORE_CONNECTIONS = 20;
/** One connection for the pending poll, the others for starts. */
const WORKER_CONNECTIONS = 4;

/** All components of a daemon on the platform. */
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
  admissionPolicy: FeasibilityAdmission;
  pressureFollower: PressureFollower;
  jobIntake: JobIntake;
  accessGuard: AccessGuard;
  bodyBudget: BodyBudget;
  callerRoutes: CallerRoutes;
  callerServer: HttpServerPlugin;
  daemonReadiness: DaemonReadiness;
  readinessServer: HttpServerPlugin;
  jobTableRefresh: JobTableRefreshPlugin;
  coordinator: CoordinatorPlugin;
  lifeCycle: LifeCycle;
}

/** Values that tests override when they wire a daemon. */
export interface EntryOverrides {
  readonly metricsPort?: number;
}

/** Wires a daemon; the only place where its components are connected. */
export function wireEntry(
  settings: EntrySettings,
  overrides: EntryOverrides = {},
): EntryParts {
  const container = createContainer<EntryParts>({
    injectionMode: InjectionMode.PROXY,
    strict: true,
  });
  const singleton = <Part>(factory: (parts: EntryParts) => Part) =>
    asFunction(factory).singleton();
  container.register({
    settings: singleton(() => settings),
    clock: singleton(() => new SystemClock()),
    random: singleton(() => new SeededRandom(randomInt(SEED_BOUND))),
    logger: singleton(
      ({clock}) =>
        new RateLimitedLogger(
          new PinoLogger(LogLevel.Info, {node: settings.node}),
          clock,
        ),
    ),
    metrics: singleton(() => new PrometheusMetrics()),
    metricsServer: singleton(
      parts =>
        new HttpServerPlugin(
          `${splitAddress(settings.callerAddress).host}:${overrides.metricsPort ?? METRICS_PORT}`,
          metricsListener(parts.metrics),
          serverGuard('metrics', OWN_SERVER_LIMITS, parts),
        ),
    ),
    drainState: singleton(() => new DrainState()),
    storeClient: singleton(() => new HttpClient(STORE_CONNECTIONS)),
    workerClient: singleton(() => new HttpClient(WORKER_CONNECTIONS)),
    log: singleton(
      parts =>
        new PlatformStore(
          parts.storeClient,
          () => settings.storeAddress,
          () => settings.storeRecordBytes,
        ),
    ),
    formats: singleton(() => new PlatformRecordFormats()),
    workers: singleton(parts => new PlatformWorkerGateway(parts.workerClient)),
    vmGateway: singleton(
      parts =>
        new PlatformVmGateway(
          parts.storeClient,
          () => settings.machineListAddress,
        ),
    ),
    operators: singleton(
      ({log, formats, clock, logger}) =>
        new OperatorView(log, formats, clock, logger),
    ),
    table: singleton(() => new JobTable()),
    jobs: singleton(
      ({log, table, clock, logger}) =>
        new JobStreams(log, table, clock, logger),
    ),
    submissions: singleton(({log, clock}) => new SubmissionLog(log, clock)),
    admissionPolicy: singleton(({clock}) => new FeasibilityAdmission(clock)),
    pressureFollower: singleton(
      parts => new PressureFollower(parts, parts.admissionPolicy),
    ),
    jobIntake: singleton(
      parts =>
        new JobIntake(
          parts.table,
          parts.jobs,
          parts.submissions,
          parts.operators.organisations,
          parts.clock,
          parts.logger,
          parts.metrics,
          settings.features.admissionControl ? jobAdmission(parts) : undefined,
        ),
    ),
    daemonReadiness: singleton(
      ({operators, jobIntake, drainState}) =>
        new DaemonReadiness(operators, jobIntake, () => drainState.isDraining),
    ),
    accessGuard: singleton(
      ({operators, clock}) =>
        new AccessGuard(
          operators,
          {
            configurationInForceMilliseconds:
              settings.limits.configurationInForceMilliseconds,
            extensionMilliseconds: settings.limits.extensionMilliseconds,
          },
          clock,
        ),
    ),
    bodyBudget: singleton(
      () => new BodyBudget(bodyBudgetBytes(settings.processLimits)),
    ),
    callerRoutes: singleton(
      ({
        jobIntake,
        operators,
        accessGuard,
        bodyBudget,
        clock,
        logger,
        metrics,
        daemonReadiness,
      }) =>
        new CallerRoutes({
          jobIntake,
          operators,
          accessGuard,
          bodyBudget,
          clock,
          logger,
          metrics,
          shouldCloseConnections: () => !daemonReadiness.isReady,
        }),
    ),
    callerServer: singleton(
      parts =>
        new HttpServerPlugin(
          settings.callerAddress,
          parts.callerRoutes.app.callback(),
          serverGuard(
            'callers',
            callerServerLimits(settings.processLimits),
            parts,
          ),
        ),
    ),
    readinessServer: singleton(
      parts =>
        new HttpServerPlugin(
          settings.readinessAddress,
          readinessListener(parts.daemonReadiness),
          serverGuard('readiness', OWN_SERVER_LIMITS, parts),
        ),
    ),
    jobTableRefresh: singleton(
      ({jobs, clock, random, logger}) =>
        new JobTableRefreshPlugin(jobs, clock, random, logger),
    ),
    coordinator: singleton(
      parts =>
        new CoordinatorPlugin(
          coordinatorParts(parts),
          parts.random,
          randomUUID(),
        ),
    ),
    lifeCycle: singleton(
      parts => new LifeCycle(pluginsOf(parts), parts.logger),
    ),
  });
  return container.cradle;
}

function serverGuard(
  server: string,
  limits: ServerLimits,
  {clock, logger, metrics}: EntryParts,
): ServerGuard {
  return new ServerGuard(server, limits, {clock, logger, metrics});
}

function jobAdmission(parts: EntryParts): JobAdmission {
  const {admissionPolicy, operators, metrics} = parts;
  return new JobAdmission(admissionPolicy, operators, metrics);
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

/** Without admission control, a daemon does not read the reports about waiting work. */
function pressurePlugins(parts: EntryParts): NamedPlugin[] {
  if (!parts.settings.features.admissionControl) return [];
  const plugin = {
    start: async () => parts.pressureFollower.start(),
    stop: async () => parts.pressureFollower.stop(),
  };
  return [{name: 'pressure', plugin}];
}

/** Plugins in the order in which they start. */
function pluginsOf(parts: EntryParts): NamedPlugin[] {
  const operators = {
    start: async () => parts.operators.start(),
    stop: async () => parts.operators.stop(),
  };
  return [
    {name: 'metrics', plugin: parts.metricsServer},
    {name: 'operators', plugin: operators},
    {name: 'job log', plugin: parts.jobTableRefresh},
    ...pressurePlugins(parts),
    {name: 'callers', plugin: parts.callerServer},
    {name: 'readiness', plugin: parts.readinessServer},
    {name: 'coordinator', plugin: parts.coordinator},
  ];
}

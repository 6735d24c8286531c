import {randomInt, randomUUID} from 'node:crypto';
import {
  InjectionMode,
  asValue,
  createContainer,
  type AwilixContainer,
} from 'awilix';
import {
  AdminRoutes,
  DecisionJournal,
  DrainState,
  LifeCycle,
  PinoLogger,
  Readiness,
  SeededRandom,
  SettingsError,
  SystemClock,
  type Clock,
  type DaemonIdentity,
  type Logger,
  type Plugin,
  type PluginRegistry,
  type SettingsFile,
} from '@gentiandoor/kernel';
import {daemonOptions} from './daemon-options.js';

const DAEMON_SECTION = 'daemon';
const SEED_BOUND = 2 ** 31;

/** Components that tests replace. */
export interface WiringOverrides {
  readonly clock?: Clock;
  readonly logger?: Logger;
}

/** The components of a wired daemon that start, stop and identify it. */
export interface WiredDaemon {
  readonly container: AwilixContainer;
  readonly identity: DaemonIdentity;
  readonly logger: Logger;
  readonly drainState: DrainState;
  readonly lifeCycle: LifeCycle;
}

/**
 * Validates all settings and wires the components; throws `SettingsError`. This is the only place
 * where components are wired.
 */
export function wireDaemon(
  settings: SettingsFile,
  registry: PluginRegistry,
  overrides: WiringOverrides = {},
): WiredDaemon {
  rejectUnknownSections(settings, registry);
  const options = settings.section(DAEMON_SECTION, daemonOptions);
  const identity: DaemonIdentity = {
    name: options.name,
    dataCentre: options.data_centre,
    incarnation: randomUUID(),
  };
  const logger =
    overrides.logger ??
    new PinoLogger(options.log_level, {daemon: identity.name});
  const drainState = new DrainState();
  const clock = overrides.clock ?? new SystemClock();
  const container = createContainer({
    injectionMode: InjectionMode.PROXY,
    strict: true,
  });
  container.register({
    identity: asValue(identity),
    clock: asValue(clock),
    adminRoutes: asValue(new AdminRoutes()),
    readiness: asValue(new Readiness()),
    decisionJournal: asValue(new DecisionJournal(clock)),
    random: asValue(new SeededRandom(options.seed ?? randomInt(SEED_BOUND))),
    logger: asValue(logger),
    drainState: asValue(drainState),
  });
  registerPlugins(container, settings, registry);
  const plugins = registry.all().map(definition => ({
    name: definition.name,
    plugin: container.resolve<Plugin>(definition.registrationName),
  }));
  return {
    container,
    identity,
    logger,
    drainState,
    lifeCycle: new LifeCycle(plugins, logger),
  };
}

function rejectUnknownSections(
  settings: SettingsFile,
  registry: PluginRegistry,
): void {
  const known = [
    DAEMON_SECTION,
    ...registry.all().map(definition => definition.name),
  ];
  for (const name of settings.sectionNames()) {
    if (known.includes(name)) continue;
    throw new SettingsError(
      `${settings.path}: unknown section [${name}]: expected one of ${known.join(', ')}`,
    );
  }
}

function registerPlugins(
  container: AwilixContainer,
  settings: SettingsFile,
  registry: PluginRegistry,
): void {
  const checked = registry.all().map(definition => ({
    definition,
    options: settings.section(definition.name, definition.options),
  }));
  for (const {definition, options} of checked)
    definition.register(container, options);
}

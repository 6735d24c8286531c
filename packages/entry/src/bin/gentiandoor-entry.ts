import {LogEvent, SettingsError, sleep} from '@gentiandoor/kernel';
import {
  SETTINGS_PATH_VARIABLE,
  readPlatformSettings,
} from '@gentiandoor/platform';
import type {EntrySettings} from '@gentiandoor/coordinator';
import {SettingsWatcher} from '../settings-watcher.js';
import {wireEntry, type EntryParts} from '../wiring.js';

/** The balancer drops a daemon after two answers, a second apart, that it is not ready. */
const BALANCER_REMOVAL_MILLISECONDS = 2_300;
/** Left of the time to the kill for the last answers and the exit. */
const EXIT_MARGIN_MILLISECONDS = 700;
/** The last log lines are written in the background. */
const LOG_FLUSH_MILLISECONDS = 20;
const INVALID_SETTINGS_EXIT_CODE = 2;

async function main(): Promise<void> {
  const path = process.env[SETTINGS_PATH_VARIABLE];
  if (!path)
    exitWithSettingsError(
      `${SETTINGS_PATH_VARIABLE} does not name a settings file`,
    );
  const settings = readSettingsOrExit(path);
  const parts = wireEntry(settings);
  const {clock, logger} = parts;
  const watch = new SettingsWatcher(
    settings,
    () => readPlatformSettings(path),
    clock,
    logger,
  );
  process.on('SIGTERM', () => void shutDown(parts));
  // Without a handler the signal would end the process.
  process.on('SIGHUP', () => watch.reload());
  await parts.lifeCycle.start();
  watch.start();
  logger.info(LogEvent.DaemonStarted, {
    dataCentre: settings.dataCentre,
    addresses: parts.lifeCycle.boundAddresses(),
  });
}

async function shutDown(parts: EntryParts): Promise<void> {
  if (parts.drainState.isDraining) return;
  const {settings, logger, clock} = parts;
  logger.info(LogEvent.DaemonDraining);
  parts.drainState.begin();
  const longest = settings.limits.grace - EXIT_MARGIN_MILLISECONDS;
  const exit = () => {
    logger.info(LogEvent.DaemonStopped);
    setTimeout(() => process.exit(0), LOG_FLUSH_MILLISECONDS);
  };
  clock.schedule(longest, exit);
  await parts.coordinator.drain();
  await sleep(clock, BALANCER_REMOVAL_MILLISECONDS);
  await parts.callerServer.drain();
  exit();
}

function readSettingsOrExit(path: string): EntrySettings {
  try {
    return readPlatformSettings(path);
  } catch (error) {
    if (error instanceof SettingsError) exitWithSettingsError(error.message);
    throw error;
  }
}

function exitWithSettingsError(reason: string): never {
  console.error(reason);
  process.exit(INVALID_SETTINGS_EXIT_CODE);
}

await main();

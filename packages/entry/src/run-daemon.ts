import {LogEvent, SettingsError, sleep} from '@gentiandoor/kernel';
import {
  SETTINGS_PATH_VARIABLE,
  readPlatformSettings,
} from '@gentiandoor/platform';
import type {EntrySettings} from '@gentiandoor/coordinator';
import {SettingsWatcher} from './settings-watcher.js';
import {wireEntry, type EntryParts} from './wiring.js';

/** The load balancer removes a daemon after two not-ready responses, one second apart. */
const BALANCER_REMOVAL_MILLISECONDS = 2_300;
/**
 * Part of the grace period before the kill that is reserved for the last responses and
 * the exit.
 */
const EXIT_MARGIN_MILLISECONDS = 700;
/** The last log lines are written in the background, so the exit waits for them. */
const LOG_FLUSH_MILLISECONDS = 20;
const INVALID_SETTINGS_EXIT_CODE = 2;

/** Runs a daemon with the settings file that the environment names, until a signal ends it. */
export async function runDaemon(): Promise<void> {
  const path = process.env[SETTINGS_PATH_VARIABLE];
  if (!path)
    exitWithSettingsError(
      `${SETTINGS_PATH_VARIABLE} does not name a settings file`,
    );
  const settings = readSettingsOrExit(path);
  const parts = wireEntry(settings);
  const {clock, logger} = parts;
  const watcher = new SettingsWatcher(
    settings,
    () => readPlatformSettings(path),
    clock,
    logger,
  );
  process.on('SIGTERM', () => void shutDown(parts));
  process.on('SIGHUP', () => watcher.reload());
  await parts.lifeCycle.start();
  watcher.start();
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
  const maximumDrainMilliseconds =
    settings.limits.gracePeriodMilliseconds - EXIT_MARGIN_MILLISECONDS;
  const exit = () => {
    logger.info(LogEvent.DaemonStopped);
    setTimeout(() => process.exit(0), LOG_FLUSH_MILLISECONDS);
  };
  clock.schedule(maximumDrainMilliseconds, exit);
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

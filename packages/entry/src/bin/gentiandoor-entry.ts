import {LogEvent, SettingsError, sleep} from '@gentiandoor/kernel';
import {SETTINGS_VARIABLE, readPlatformSettings} from '@gentiandoor/platform';
import type {EntrySettings} from '@gentiandoor/coordinator';
import {SettingsWatch} from '../settings-watch.js';
import {wireEntry, type EntryParts} from '../wiring.js';

/** The balancer drops a daemon after two answers, a second apart, that it is not ready. */
const BALANCER_MILLISECONDS = 2_300;
/** Left of the time to the kill for the last answers and the exit. */
const EXIT_MARGIN_MILLISECONDS = 700;
/** The last log lines are written in the background. */
const LAST_LINES_MILLISECONDS = 20;
const WRONG_SETTINGS_STATUS = 2;

async function main(): Promise<void> {
  const path = process.env[SETTINGS_VARIABLE];
  if (!path) refuse(`${SETTINGS_VARIABLE} does not name a settings file`);
  const settings = readOrRefuse(path);
  const parts = wireEntry(settings);
  const {clock, logger} = parts;
  const watch = new SettingsWatch(
    settings,
    () => readPlatformSettings(path),
    clock,
    logger,
  );
  process.on('SIGTERM', () => void stop(parts));
  // Without a handler the signal would end the process.
  process.on('SIGHUP', () => watch.reload());
  await parts.lifeCycle.start();
  watch.start();
  logger.info(LogEvent.DaemonStarted, {
    dataCentre: settings.dataCentre,
    addresses: parts.lifeCycle.boundAddresses(),
  });
}

async function stop(parts: EntryParts): Promise<void> {
  if (parts.drainState.isDraining) return;
  const {settings, logger, clock} = parts;
  logger.info(LogEvent.DaemonDraining);
  parts.drainState.begin();
  const longest = settings.limits.grace - EXIT_MARGIN_MILLISECONDS;
  const exit = () => {
    logger.info(LogEvent.DaemonStopped);
    setTimeout(() => process.exit(0), LAST_LINES_MILLISECONDS);
  };
  clock.schedule(longest, exit);
  await parts.coordinator.drain();
  await sleep(clock, BALANCER_MILLISECONDS);
  await parts.callers.drain();
  exit();
}

function readOrRefuse(path: string): EntrySettings {
  try {
    return readPlatformSettings(path);
  } catch (error) {
    if (error instanceof SettingsError) refuse(error.message);
    throw error;
  }
}

function refuse(reason: string): never {
  console.error(reason);
  process.exit(WRONG_SETTINGS_STATUS);
}

await main();

import {LogEvent, sleep} from '@gentiandoor/kernel';
import {SETTINGS_VARIABLE, readPlatformSettings} from '@gentiandoor/platform';
import {wireEntry, type EntryParts} from '../wiring.js';

/** The balancer drops a daemon after two answers, a second apart, that it is not ready. */
const BALANCER_MILLISECONDS = 2_300;
/** Left of the time to the kill for the last answers and the exit. */
const EXIT_MARGIN_MILLISECONDS = 700;

async function main(): Promise<void> {
  const path = process.env[SETTINGS_VARIABLE];
  if (!path) {
    console.error(`${SETTINGS_VARIABLE} does not name a settings file`);
    process.exit(2);
  }
  const settings = readPlatformSettings(path);
  const parts = wireEntry(settings);
  process.on('SIGTERM', () => void stop(parts));
  // Without a handler the signal would end the process.
  process.on('SIGHUP', () =>
    parts.logger.info(LogEvent.SettingsChanged, {path}),
  );
  await parts.lifeCycle.start();
  parts.logger.info(LogEvent.DaemonStarted, {
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
    // The line above is written in the background.
    setTimeout(() => process.exit(0), 20);
  };
  clock.schedule(longest, exit);
  await parts.coordinator.drain();
  await sleep(clock, BALANCER_MILLISECONDS);
  await parts.callers.drain();
  exit();
}

await main();

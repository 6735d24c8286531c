import {LogEvent, type SettingsFile} from '@gentiandoor/kernel';
import {allPlugins} from './plugins.js';
import {wireDaemon, type WiredDaemon, type WiringOverrides} from './wiring.js';

/** An entry daemon. */
export class Daemon {
  private readonly wired: WiredDaemon;

  /** Checks the settings; throws `SettingsError`. */
  constructor(settings: SettingsFile, overrides: WiringOverrides = {}) {
    this.wired = wireDaemon(settings, allPlugins(), overrides);
  }

  /** A part by its name in the wiring; for tests and the demo. */
  resolve<Part>(name: string): Part {
    return this.wired.container.resolve<Part>(name);
  }

  async start(): Promise<void> {
    const {identity, lifeCycle, logger} = this.wired;
    await lifeCycle.start();
    const addresses = lifeCycle.boundAddresses();
    logger.info(LogEvent.DaemonStarted, {...identity, addresses});
  }

  /** The graceful stop: takes nothing new, lets exchanges finish, then ends. */
  async drainAndStop(): Promise<void> {
    const {drainState, lifeCycle, logger} = this.wired;
    logger.info(LogEvent.DaemonDraining);
    drainState.begin();
    await lifeCycle.drain();
    await lifeCycle.stop();
    logger.info(LogEvent.DaemonStopped);
  }

  /** Ends at once. */
  async stop(): Promise<void> {
    await this.wired.lifeCycle.stop();
  }
}

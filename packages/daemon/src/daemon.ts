import {LogEvent, type SettingsFile} from '@gentiandoor/kernel';
import {allPlugins} from './plugins.js';
import {wireDaemon, type WiredDaemon, type WiringOverrides} from './wiring.js';

/** An entry daemon: its wired components and their life cycle. */
export class Daemon {
  private readonly wired: WiredDaemon;

  /** Validates the settings and wires the components; throws `SettingsError`. */
  constructor(settings: SettingsFile, overrides: WiringOverrides = {}) {
    this.wired = wireDaemon(settings, allPlugins(), overrides);
  }

  /** Returns a component by its registration name; for tests and the demo. */
  resolve<Part>(name: string): Part {
    return this.wired.container.resolve<Part>(name);
  }

  async start(): Promise<void> {
    const {identity, lifeCycle, logger} = this.wired;
    await lifeCycle.start();
    const addresses = lifeCycle.boundAddresses();
    logger.info(LogEvent.DaemonStarted, {...identity, addresses});
  }

  /** Shuts down gracefully: accepts no new work, lets exchanges in flight finish, then stops. */
  async drainAndStop(): Promise<void> {
    const {drainState, lifeCycle, logger} = this.wired;
    logger.info(LogEvent.DaemonDraining);
    drainState.begin();
    await lifeCycle.drain();
    await lifeCycle.stop();
    logger.info(LogEvent.DaemonStopped);
  }

  /** Stops immediately, without draining. */
  async stop(): Promise<void> {
    await this.wired.lifeCycle.stop();
  }
}

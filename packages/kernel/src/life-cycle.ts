import {LogEvent} from './log-events.js';
import type {Logger} from './logger.js';
import type {Plugin} from './plugin.js';

/** A plug-in with its name, as the life cycle drives it. */
export interface NamedPlugin {
  readonly name: string;
  readonly plugin: Plugin;
}

/** Starts plug-ins in order; drains and stops them in the opposite order. */
export class LifeCycle {
  private readonly started: NamedPlugin[] = [];

  constructor(
    private readonly plugins: readonly NamedPlugin[],
    private readonly logger: Logger,
  ) {}

  /** Starts all; when one fails, stops those that had started and rethrows. */
  async start(): Promise<void> {
    for (const entry of this.plugins) {
      try {
        await entry.plugin.start();
      } catch (error) {
        this.logger.error(LogEvent.PluginFailed, {
          plugin: entry.name,
          error: String(error),
        });
        await this.stop();
        throw error;
      }
      this.started.push(entry);
      this.logger.debug(LogEvent.PluginStarted, {plugin: entry.name});
    }
  }

  /** Addresses on which started plug-ins listen, by the plug-in's name. */
  boundAddresses(): Record<string, string> {
    const found: Record<string, string> = {};
    for (const {name, plugin} of this.started) {
      const {boundAddress} = plugin;
      if (boundAddress !== undefined) found[name] = boundAddress;
    }
    return found;
  }

  /** Lets every plug-in finish what runs, the caller's side first. */
  async drain(): Promise<void> {
    for (const entry of [...this.started].reverse()) {
      await entry.plugin.drain?.();
    }
  }

  /** Ends all plug-ins. */
  async stop(): Promise<void> {
    for (const entry of this.started.splice(0).reverse()) {
      await entry.plugin.stop();
    }
  }
}

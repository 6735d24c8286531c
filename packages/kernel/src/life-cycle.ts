import {LogEvent} from './log-events.js';
import type {Logger} from './logger.js';
import type {Plugin} from './plugin.js';

/** A plug-in instance with its name. */
export interface NamedPlugin {
  readonly name: string;
  readonly plugin: Plugin;
}

/** Starts plug-ins in order; drains and stops them in reverse order. */
export class LifeCycle {
  private readonly started: NamedPlugin[] = [];

  constructor(
    private readonly plugins: readonly NamedPlugin[],
    private readonly logger: Logger,
  ) {}

  /** Starts all plug-ins; if one fails, stops those already started and rethrows the error. */
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

  /** Returns the addresses on which started plug-ins listen, by plug-in name. */
  boundAddresses(): Record<string, string> {
    const addresses: Record<string, string> = {};
    for (const {name, plugin} of this.started) {
      const {boundAddress} = plugin;
      if (boundAddress !== undefined) addresses[name] = boundAddress;
    }
    return addresses;
  }

  /** Lets every plug-in finish its work in flight, starting with those that serve callers. */
  async drain(): Promise<void> {
    for (const entry of [...this.started].reverse()) {
      await entry.plugin.drain?.();
    }
  }

  /** Stops all started plug-ins, in reverse order. */
  async stop(): Promise<void> {
    for (const entry of this.started.splice(0).reverse()) {
      await entry.plugin.stop();
    }
  }
}

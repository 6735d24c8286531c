import type {AwilixContainer} from 'awilix';
import type {z} from 'zod';

/** A component of the daemon with a life cycle. */
export interface Plugin {
  /** Address in use after the start, as IP address and port; undefined if it listens on none. */
  readonly boundAddress?: string;
  /** Opens ports and starts background tasks; resolves when the plug-in is operational. */
  start(): Promise<void>;
  /** Accepts no new work and lets work in flight finish; resolves when none is left. */
  drain?(): Promise<void>;
  /** Ends all remaining work immediately. */
  stop(): Promise<void>;
}

/** Definition that a plug-in package exports. */
export interface PluginDefinition {
  /** Name of the plug-in; also its section in the settings file. */
  readonly name: string;
  /** Schema of its settings section: keys and bounds. */
  readonly options: z.ZodType;
  /** Registers its services in the container. `options` is the validated settings section. */
  register(container: AwilixContainer, options: unknown): void;
  /** Name of the registered service that implements `Plugin`. */
  readonly registrationName: string;
}

/** The plug-ins of a daemon, in start order. */
export class PluginRegistry {
  private readonly definitions = new Map<string, PluginDefinition>();

  /** Adds a plug-in; throws if its name was already added, which is a programming error. */
  add(definition: PluginDefinition): void {
    if (this.definitions.has(definition.name)) {
      throw new Error(`plug-in ${definition.name} registered twice`);
    }
    this.definitions.set(definition.name, definition);
  }

  /** Returns all definitions in order of registration. */
  all(): PluginDefinition[] {
    return [...this.definitions.values()];
  }
}

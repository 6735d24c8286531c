import type {AwilixContainer} from 'awilix';
import type {z} from 'zod';

/** A running part of the daemon. */
export interface Plugin {
  /** Address in use after the start, IP number and port; undefined where it listens on none. */
  readonly boundAddress?: string;
  /** Opens ports, starts tasks; resolves when the plug-in can do its work. */
  start(): Promise<void>;
  /** Takes nothing new and lets what runs finish; resolves when nothing is left. */
  drain?(): Promise<void>;
  /** Ends at once whatever is left. */
  stop(): Promise<void>;
}

/** What a plug-in package registers. */
export interface PluginDefinition {
  /** Name of the plug-in; also its section in the settings file. */
  readonly name: string;
  /** Keys and bounds of its settings section. */
  readonly options: z.ZodType;
  /** Adds its services to the container. `options` is the checked section. */
  register(container: AwilixContainer, options: unknown): void;
  /** Names of the registered service that implements `Plugin`. */
  readonly registrationName: string;
}

/** The plug-ins of a daemon, in the order in which they start. */
export class PluginRegistry {
  private readonly definitions = new Map<string, PluginDefinition>();

  /** Adds a plug-in; the same name twice is a programming error. */
  add(definition: PluginDefinition): void {
    if (this.definitions.has(definition.name)) {
      throw new Error(`plug-in ${definition.name} registered twice`);
    }
    this.definitions.set(definition.name, definition);
  }

  /** All definitions in order of registration. */
  all(): PluginDefinition[] {
    return [...this.definitions.values()];
  }
}

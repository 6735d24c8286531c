import type {Plugin} from '@gentiandoor/kernel';
import type {PlatformClient} from './platform-client.js';

/** Closes the platform client's connections on stop; they open with the first call. */
export class PlatformLeasesPlugin implements Plugin {
  private readonly client: PlatformClient;

  constructor(dependencies: {readonly platformCalls: PlatformClient}) {
    this.client = dependencies.platformCalls;
  }

  async start(): Promise<void> {
    return undefined;
  }

  stop(): Promise<void> {
    return this.client.stop();
  }
}

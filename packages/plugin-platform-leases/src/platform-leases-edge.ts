import type {Plugin} from '@gentiandoor/kernel';
import type {PlatformCalls} from './platform-calls.js';

/** Life cycle of the edge: connections open with the first call and end with the daemon. */
export class PlatformLeasesEdge implements Plugin {
  private readonly calls: PlatformCalls;

  constructor(dependencies: {readonly platformCalls: PlatformCalls}) {
    this.calls = dependencies.platformCalls;
  }

  async start(): Promise<void> {
    return undefined;
  }

  stop(): Promise<void> {
    return this.calls.stop();
  }
}

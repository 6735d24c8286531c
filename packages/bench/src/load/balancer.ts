import {request} from 'undici';
import {sleep, type Clock, type RandomSource} from '@gentiandoor/kernel';
import type {RunningDaemon} from '../deployment.js';

const POLL_MILLISECONDS = 50;

/**
 * A balancer like the platform's: sends a connection to any daemon whose health check reports
 * ready.
 */
export class Balancer {
  private ready: readonly string[] = [];
  private running = true;

  constructor(
    private readonly clock: Clock,
    private readonly random: RandomSource,
    private readonly daemons: () => readonly RunningDaemon[],
  ) {}

  /** Polls the health checks until `stop`. */
  async run(): Promise<void> {
    while (this.running) {
      const checks = this.daemons().map(daemon => addressIfReady(daemon));
      const addresses = await Promise.all(checks);
      this.ready = addresses.filter(address => address !== undefined);
      await sleep(this.clock, POLL_MILLISECONDS);
    }
  }

  /** Returns the address of a random ready daemon; undefined when none is ready. */
  pick(): string | undefined {
    return this.ready[this.random.nextInteger(this.ready.length)];
  }

  stop(): void {
    this.running = false;
  }
}

async function addressIfReady(
  daemon: RunningDaemon,
): Promise<string | undefined> {
  try {
    const response = await request(
      `http://${daemon.adminAddress}/health/ready`,
    );
    await response.body.dump();
    return response.statusCode === 200 ? daemon.callerAddress : undefined;
  } catch {
    return undefined;
  }
}

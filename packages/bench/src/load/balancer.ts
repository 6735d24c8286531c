import {request} from 'undici';
import {sleep, type Clock, type RandomSource} from '@gentiandoor/kernel';
import type {RunningDaemon} from '../deployment.js';

const POLL_MILLISECONDS = 50;

/** A balancer as the platform's: sends a connection to any daemon whose health answer says ready. */
export class Balancer {
  private ready: readonly string[] = [];
  private running = true;

  constructor(
    private readonly clock: Clock,
    private readonly random: RandomSource,
    private readonly daemons: () => readonly RunningDaemon[],
  ) {}

  /** Polls the health answers until `stop`. */
  async run(): Promise<void> {
    while (this.running) {
      const asked = this.daemons().map(daemon => addressIfReady(daemon));
      const answers = await Promise.all(asked);
      this.ready = answers.filter(address => address !== undefined);
      await sleep(this.clock, POLL_MILLISECONDS);
    }
  }

  /** A daemon for a new connection; undefined when none is ready. */
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
    const answer = await request(`http://${daemon.adminAddress}/health/ready`);
    await answer.body.dump();
    return answer.statusCode === 200 ? daemon.callerAddress : undefined;
  } catch {
    return undefined;
  }
}

import type {
  Peer,
  PeerHandler,
  PeerLinks,
  PeerTopic,
} from '@gentiandoor/shared-state';

/** Peer links that wait for `waitForStep` before each request and before each response. */
export class StepwisePeerLinks implements PeerLinks {
  constructor(
    private readonly links: PeerLinks,
    private readonly waitForStep: (step: string) => Promise<void>,
  ) {}

  connected(): readonly Peer[] {
    return this.links.connected();
  }

  broadcast(topic: PeerTopic, message: unknown): void {
    this.links.broadcast(topic, message);
  }

  async request(
    incarnation: string,
    topic: PeerTopic,
    message: unknown,
    timeoutMilliseconds: number,
  ): Promise<unknown> {
    await this.waitForStep(`asks ${incarnation}`);
    const answer = await this.links.request(
      incarnation,
      topic,
      message,
      timeoutMilliseconds,
    );
    await this.waitForStep(`hears from ${incarnation}`);
    return answer;
  }

  setHandler(topic: PeerTopic, handler: PeerHandler): void {
    this.links.setHandler(topic, handler);
  }
}

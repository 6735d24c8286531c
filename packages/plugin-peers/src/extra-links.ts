import {sleep, type Clock} from '@gentiandoor/kernel';
import type {PeerDirectory} from '@gentiandoor/shared-state';
import {PeerDisconnectReason} from './peer-disconnect.js';
import type {PeerLink} from './peer-link.js';

const IDLE_TIMEOUT_MILLISECONDS = 30_000;

/** Dials an address and carries the link until it ends; `onUp` is told of the link. */
export type Dial = (
  address: string,
  signal: AbortSignal,
  onUp: (link: PeerLink) => void,
) => Promise<void>;

/** What extra links need. */
export interface ExtraLinksDependencies {
  readonly clock: Clock;
  readonly peerDirectory: PeerDirectory;
  /** Links at one time. */
  readonly maximumLinks: number;
  readonly dial: Dial;
  /** Keeps a task until it ends. */
  readonly trackTask: (task: Promise<void>) => void;
}

/** Links for requests to daemons outside the fan-out: opened for a request, closed when idle. */
export class ExtraLinks {
  private openCount = 0;

  constructor(private readonly dependencies: ExtraLinksDependencies) {}

  /** A link to one incarnation; rejects when it cannot be opened. */
  async openTo(incarnation: string): Promise<PeerLink> {
    const {peerDirectory, maximumLinks: limit} = this.dependencies;
    const entry = peerDirectory
      .entries()
      .find(known => known.incarnation === incarnation);
    if (!entry) throw new Error(`no link to ${incarnation}`);
    if (this.openCount >= limit)
      throw new Error(`no link to ${entry.name}: too many extra links`);
    const link = await this.dialEntry(entry.name, entry.address);
    if (link.peer.incarnation === incarnation) return link;
    throw new Error(`${entry.name} is a newer incarnation`);
  }

  private dialEntry(name: string, address: string): Promise<PeerLink> {
    const {dial, trackTask: spawn} = this.dependencies;
    const done = new AbortController();
    this.openCount++;
    return new Promise<PeerLink>((resolve, reject) => {
      const dialling = dial(address, done.signal, link => {
        resolve(link);
        spawn(this.closeWhenIdle(link, done.signal));
      }).finally(() => {
        done.abort();
        this.openCount--;
        reject(new Error(`no link to ${name}`));
      });
      spawn(dialling);
    });
  }

  private async closeWhenIdle(
    link: PeerLink,
    done: AbortSignal,
  ): Promise<void> {
    const {clock} = this.dependencies;
    while (!done.aborted) {
      await sleep(clock, IDLE_TIMEOUT_MILLISECONDS / 2, done);
      const idle = clock.monotonicMilliseconds() - link.lastUsedAt;
      if (idle > IDLE_TIMEOUT_MILLISECONDS)
        link.close(PeerDisconnectReason.NotNeeded);
    }
  }
}

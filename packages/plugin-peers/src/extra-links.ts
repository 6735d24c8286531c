import {sleep, type Clock} from '@gentiandoor/kernel';
import type {PeerDirectory} from '@gentiandoor/shared-state';
import {PeerDisconnectReason} from './peer-disconnect.js';
import type {PeerLink} from './peer-link.js';

const IDLE_TIMEOUT_MILLISECONDS = 30_000;

/** Dials an address and runs the link until it closes; calls `onUp` once it is established. */
export type Dial = (
  address: string,
  signal: AbortSignal,
  onUp: (link: PeerLink) => void,
) => Promise<void>;

/** Dependencies of `ExtraLinks`. */
export interface ExtraLinksDependencies {
  readonly clock: Clock;
  readonly peerDirectory: PeerDirectory;
  /** Maximum number of extra links open at the same time. */
  readonly maximumLinks: number;
  readonly dial: Dial;
  /** Tracks a task until it completes, so that a stop can wait for it. */
  readonly trackTask: (task: Promise<void>) => void;
}

/**
 * Links to daemons that are not among the chosen peers: opened for a request, closed when
 * idle.
 */
export class ExtraLinks {
  private openCount = 0;

  constructor(private readonly dependencies: ExtraLinksDependencies) {}

  /** Opens a link to an incarnation; rejects when that fails. */
  async openTo(incarnation: string): Promise<PeerLink> {
    const {peerDirectory, maximumLinks} = this.dependencies;
    const entry = peerDirectory
      .entries()
      .find(known => known.incarnation === incarnation);
    if (!entry) throw new Error(`no link to ${incarnation}`);
    if (this.openCount >= maximumLinks)
      throw new Error(`no link to ${entry.name}: too many extra links`);
    const link = await this.dialEntry(entry.name, entry.address);
    if (link.peer.incarnation === incarnation) return link;
    throw new Error(`${entry.name} is a newer incarnation`);
  }

  private dialEntry(name: string, address: string): Promise<PeerLink> {
    const {dial, trackTask} = this.dependencies;
    const linkEnded = new AbortController();
    this.openCount++;
    return new Promise<PeerLink>((resolve, reject) => {
      const dialling = dial(address, linkEnded.signal, link => {
        resolve(link);
        trackTask(this.closeWhenIdle(link, linkEnded.signal));
      }).finally(() => {
        linkEnded.abort();
        this.openCount--;
        reject(new Error(`no link to ${name}`));
      });
      trackTask(dialling);
    });
  }

  private async closeWhenIdle(
    link: PeerLink,
    linkEnded: AbortSignal,
  ): Promise<void> {
    const {clock} = this.dependencies;
    while (!linkEnded.aborted) {
      await sleep(clock, IDLE_TIMEOUT_MILLISECONDS / 2, linkEnded);
      const idleMilliseconds = clock.monotonicMilliseconds() - link.lastUsedAt;
      if (idleMilliseconds > IDLE_TIMEOUT_MILLISECONDS)
        link.close(PeerDisconnectReason.NotNeeded);
    }
  }
}

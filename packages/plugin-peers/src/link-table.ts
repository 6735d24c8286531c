import type {DaemonIdentity} from '@gentiandoor/kernel';
import type {PeerLink} from './peer-link.js';
import {LinkSide} from './frame-authentication.js';

/** The links that are up, one a daemon. */
export class LinkTable {
  private readonly links = new Map<string, PeerLink>();

  constructor(private readonly identity: DaemonIdentity) {}

  all(): PeerLink[] {
    return [...this.links.values()];
  }

  get(incarnation: string): PeerLink | undefined {
    return this.links.get(incarnation);
  }

  /** Whether a daemon of that name is linked. */
  hasName(name: string): boolean {
    return this.all().some(link => link.peer.name === name);
  }

  /**
   * Adds a link; false when another to the same daemon stays in its place. Two daemons that dial each
   * other at one time must cut the same link of the two, or both would be cut: the one
   * dialled by the lesser incarnation stays.
   */
  add(link: PeerLink): boolean {
    const other = this.links.get(link.peer.incarnation);
    if (other && other.side !== link.side && !this.takesPrecedence(link)) {
      link.retire();
      return false;
    }
    this.links.set(link.peer.incarnation, link);
    other?.retire();
    return true;
  }

  /** Takes a link out, unless another has taken its place. */
  remove(link: PeerLink): void {
    if (this.links.get(link.peer.incarnation) === link)
      this.links.delete(link.peer.incarnation);
  }

  private takesPrecedence(link: PeerLink): boolean {
    const own = this.identity.incarnation;
    const peer = link.peer.incarnation;
    return link.side === LinkSide.Dialer ? own < peer : peer < own;
  }
}

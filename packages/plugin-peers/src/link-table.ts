import type {DaemonIdentity} from '@gentiandoor/kernel';
import type {PeerLink} from './peer-link.js';
import {LinkSide} from './frame-authentication.js';

/** The established links, one per daemon. */
export class LinkTable {
  private readonly links = new Map<string, PeerLink>();

  constructor(private readonly identity: DaemonIdentity) {}

  all(): PeerLink[] {
    return [...this.links.values()];
  }

  get(incarnation: string): PeerLink | undefined {
    return this.links.get(incarnation);
  }

  /** Returns whether a daemon with this name is linked. */
  hasName(name: string): boolean {
    return this.all().some(link => link.peer.name === name);
  }

  /**
   * Adds a link; false when an existing link to the same daemon is kept instead. Two daemons
   * that dial each other at the same time must close the same one of the two links, otherwise
   * both would be closed. The link dialled by the lesser incarnation is kept.
   */
  add(link: PeerLink): boolean {
    const existing = this.links.get(link.peer.incarnation);
    if (
      existing &&
      existing.side !== link.side &&
      !this.takesPrecedence(link)
    ) {
      link.retire();
      return false;
    }
    this.links.set(link.peer.incarnation, link);
    existing?.retire();
    return true;
  }

  /** Removes a link, unless another one has replaced it. */
  remove(link: PeerLink): void {
    if (this.links.get(link.peer.incarnation) === link)
      this.links.delete(link.peer.incarnation);
  }

  private takesPrecedence(link: PeerLink): boolean {
    const ownIncarnation = this.identity.incarnation;
    const peerIncarnation = link.peer.incarnation;
    return link.side === LinkSide.Dialer
      ? ownIncarnation < peerIncarnation
      : peerIncarnation < ownIncarnation;
  }
}

/** Why a link ended; the reason tag of `MetricName.PeerDisconnects`. */
export enum PeerEnd {
  /** The other side closed it, or the connection broke. */
  Closed = 'closed',
  /** Nothing came for too long. */
  Silent = 'silent',
  /** Its queue stayed full. */
  Slow = 'slow',
  /** A frame broke the protocol or its seal was wrong. */
  Malformed = 'malformed',
  /** Wrong key or no common protocol version. */
  Refused = 'refused',
  /** No handshake in time. */
  HandshakeTimeout = 'handshake_timeout',
  /** Another link to the same daemon stays. */
  Doubled = 'doubled',
  /** No longer among the chosen peers. */
  NotNeeded = 'not_needed',
  /** This daemon stops. */
  Stopped = 'stopped',
}

/** Ends a link with a reason. */
export class PeerEndError extends Error {
  constructor(
    readonly end: PeerEnd,
    detail: string,
  ) {
    super(detail);
  }
}

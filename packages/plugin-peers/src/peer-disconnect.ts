/** Why a link ended; the reason tag of `MetricName.PeerDisconnects`. */
export enum PeerDisconnectReason {
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
  Duplicate = 'doubled',
  /** No longer among the chosen peers. */
  NotNeeded = 'not_needed',
  /** This daemon stops. */
  Stopped = 'stopped',
}

/** Ends a link with a reason. */
export class PeerDisconnectError extends Error {
  constructor(
    readonly reason: PeerDisconnectReason,
    detail: string,
  ) {
    super(detail);
  }
}

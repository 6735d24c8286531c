/** Why a link was closed; the reason tag of `MetricName.PeerDisconnects`. */
export enum PeerDisconnectReason {
  /** The peer closed the link, or the connection broke. */
  Closed = 'closed',
  /** Nothing was received for `silent_milliseconds`. */
  Silent = 'silent',
  /** The send queue stayed full for `slow_milliseconds`. */
  Slow = 'slow',
  /** A frame violated the protocol or its authentication tag was wrong. */
  Malformed = 'malformed',
  /** Wrong key or no common protocol version. */
  Refused = 'refused',
  /** The handshake did not complete in time. */
  HandshakeTimeout = 'handshake_timeout',
  /** Another link to the same daemon is kept. */
  Duplicate = 'doubled',
  /** No longer among the chosen peers. */
  NotNeeded = 'not_needed',
  /** This daemon is stopping. */
  Stopped = 'stopped',
}

/** Closes the link on which it is thrown, with a reason. */
export class PeerDisconnectError extends Error {
  constructor(
    readonly reason: PeerDisconnectReason,
    detail: string,
  ) {
    super(detail);
  }
}

/** Topics of the messages between peers. */
export enum PeerTopic {
  /** Summary of the load of targets and of suspected targets. */
  TargetSummary = 'target_summary',
  /** Offset and hash of the folded state, and the bundle in force. */
  StateSummary = 'state_summary',
  /** Records read from the log, forwarded to daemons that cannot reach it. */
  Records = 'records',
  /** State of a keyed request and its response. */
  KeyedAnswer = 'keyed_answer',
}

/** A daemon at the other end of a link. */
export interface Peer {
  readonly name: string;
  readonly incarnation: string;
  readonly dataCentre: string;
}

/** Handles a message; the returned value is the response to a `request`. */
export type PeerHandler = (from: Peer, message: unknown) => Promise<unknown>;

/**
 * Best-effort, bounded and authenticated links to other entry daemons. They are not used for
 * agreement.
 */
export interface PeerLinks {
  /** Returns the peers whose link is up. */
  connected(): readonly Peer[];
  /** Sends a message to every linked peer; messages to a slow peer may be dropped. */
  broadcast(topic: PeerTopic, message: unknown): void;
  /** Sends a request; rejects if the peer is not linked or does not respond before the timeout. */
  request(
    incarnation: string,
    topic: PeerTopic,
    message: unknown,
    timeoutMilliseconds: number,
  ): Promise<unknown>;
  /** Sets the handler of a topic; each topic has one. */
  setHandler(topic: PeerTopic, handler: PeerHandler): void;
}

/** Links of a daemon that has no peers. */
export class NoPeerLinks implements PeerLinks {
  connected(): readonly Peer[] {
    return [];
  }

  broadcast(): void {}

  request(incarnation: string): Promise<unknown> {
    return Promise.reject(new Error(`no link to ${incarnation}`));
  }

  setHandler(): void {}
}

/** What peers tell each other. */
export enum PeerTopic {
  /** Load and suspicion of targets, in short. */
  TargetSummary = 'target_summary',
  /** Offset and hash of the folded state, and the bundle in force. */
  StateSummary = 'state_summary',
  /** Records read from the log, passed on to those that cannot reach it. */
  Records = 'records',
  /** Where a keyed request stands, and its answer. */
  KeyedAnswer = 'keyed_answer',
}

/** A daemon at the other end of a link. */
export interface Peer {
  readonly name: string;
  readonly incarnation: string;
  readonly dataCentre: string;
}

/** Takes a message; what it returns goes back to a `request`. */
export type PeerHandler = (from: Peer, message: unknown) => Promise<unknown>;

/** Links to other entry daemons: best effort, bounded, authenticated. Nothing is agreed here. */
export interface PeerLinks {
  /** Peers whose link is up. */
  connected(): readonly Peer[];
  /** Sends to every linked peer; a slow peer loses messages. */
  broadcast(topic: PeerTopic, message: unknown): void;
  /** Rejects when the peer is not linked or does not answer in time. */
  request(
    incarnation: string,
    topic: PeerTopic,
    message: unknown,
    timeoutMilliseconds: number,
  ): Promise<unknown>;
  /** One handler a topic. */
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

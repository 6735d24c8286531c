import type {Clock} from '@gentiandoor/kernel';
import {
  PeerTopic,
  decodeSnapshot,
  encodeSnapshot,
  type Peer,
  type PeerLinks,
} from '@gentiandoor/shared-state';
import {
  RecordSource,
  yieldToEventLoop,
  type StateReplica,
} from './state-replica.js';
import {
  recordsAnswerSchema,
  recordsRequestSchema,
  type RecordsAnswer,
} from './state-summary.js';

const MAXIMUM_RESPONSE_BYTES = 2_000_000;
const REQUEST_TIMEOUT_MILLISECONDS = 5000;
/** A peer's snapshot is made at most so often, however many ask for it. */
const SNAPSHOT_CACHE_MILLISECONDS = 10_000;

/** What passing records on needs. */
export interface PeerRecordsDependencies {
  readonly clock: Clock;
  readonly peerLinks: PeerLinks;
}

/** Gives records and whole states to peers, and takes them from peers. */
export class PeerRecords {
  private cachedSnapshot: {at: number; bytes: Promise<Uint8Array>} | undefined;

  constructor(
    private readonly dependencies: PeerRecordsDependencies,
    private readonly replica: StateReplica,
  ) {
    dependencies.peerLinks.setHandler(
      PeerTopic.Records,
      async (_from, message) => this.respond(message),
    );
  }

  /** Takes from a peer what follows this daemon's state, or the peer's whole state. */
  async pullFrom(peer: Peer): Promise<void> {
    const from = this.replica.live.nextOffset;
    const answer = await this.requestRecords(peer, from, false);
    if (answer.payloads) {
      await this.replica.apply(answer.from, answer.payloads, RecordSource.Peer);
      return;
    }
    const {snapshot} = await this.requestRecords(peer, from, true);
    if (!snapshot) return;
    const {trustedOperators: trusted} = this.replica.live;
    await this.replica.restore(
      await decodeSnapshot(snapshot, trusted, yieldToEventLoop),
    );
  }

  private async requestRecords(
    peer: Peer,
    from: number,
    snapshot: boolean,
  ): Promise<RecordsAnswer> {
    const answer = await this.dependencies.peerLinks.request(
      peer.incarnation,
      PeerTopic.Records,
      {from, snapshot},
      REQUEST_TIMEOUT_MILLISECONDS,
    );
    return recordsAnswerSchema.parse(answer);
  }

  private async respond(message: unknown): Promise<RecordsAnswer> {
    const {from, snapshot} = recordsRequestSchema.parse(message);
    if (snapshot) return {from, snapshot: await this.currentSnapshot()};
    return {
      from,
      payloads: this.replica.recentRecords.readFrom(
        from,
        MAXIMUM_RESPONSE_BYTES,
      ),
    };
  }

  private currentSnapshot(): Promise<Uint8Array> {
    const now = this.dependencies.clock.monotonicMilliseconds();
    if (
      !this.cachedSnapshot ||
      now - this.cachedSnapshot.at > SNAPSHOT_CACHE_MILLISECONDS
    ) {
      const bytes = encodeSnapshot(this.replica.live, yieldToEventLoop);
      this.cachedSnapshot = {at: now, bytes};
    }
    return this.cachedSnapshot.bytes;
  }
}

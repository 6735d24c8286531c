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
/**
 * Time for which a snapshot is reused, so that many requesting peers don't cause one snapshot
 * each.
 */
const SNAPSHOT_CACHE_MILLISECONDS = 10_000;

/** Dependencies of `PeerRecords`. */
export interface PeerRecordsDependencies {
  readonly clock: Clock;
  readonly peerLinks: PeerLinks;
}

/** Sends records and complete states to peers and fetches them from peers. */
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

  /** Fetches the records after this daemon's state from a peer, or the peer's complete state. */
  async pullFrom(peer: Peer): Promise<void> {
    const nextOffset = this.replica.live.nextOffset;
    const response = await this.requestRecords(peer, nextOffset, false);
    if (response.payloads) {
      await this.replica.apply(
        response.from,
        response.payloads,
        RecordSource.Peer,
      );
      return;
    }
    const {snapshot} = await this.requestRecords(peer, nextOffset, true);
    if (!snapshot) return;
    const {trustedOperators} = this.replica.live;
    await this.replica.restore(
      await decodeSnapshot(snapshot, trustedOperators, yieldToEventLoop),
    );
  }

  private async requestRecords(
    peer: Peer,
    from: number,
    snapshot: boolean,
  ): Promise<RecordsAnswer> {
    const response = await this.dependencies.peerLinks.request(
      peer.incarnation,
      PeerTopic.Records,
      {from, snapshot},
      REQUEST_TIMEOUT_MILLISECONDS,
    );
    return recordsAnswerSchema.parse(response);
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

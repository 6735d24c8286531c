import type {Clock} from '@gentiandoor/kernel';
import {
  PeerTopic,
  decodeSnapshot,
  encodeSnapshot,
  type Peer,
  type PeerLinks,
} from '@gentiandoor/shared-state';
import {RecordSource, restOfLoop, type StateKeeper} from './state-keeper.js';
import {
  recordsAnswerSchema,
  recordsRequestSchema,
  type RecordsAnswer,
} from './state-summary.js';

const ANSWER_BYTES = 2_000_000;
const REQUEST_MILLISECONDS = 5000;
/** A peer's snapshot is made at most so often, however many ask for it. */
const SNAPSHOT_KEPT_MILLISECONDS = 10_000;

/** What passing records on needs. */
export interface PeerRecordsDependencies {
  readonly clock: Clock;
  readonly peerLinks: PeerLinks;
}

/** Gives records and whole states to peers, and takes them from peers. */
export class PeerRecords {
  private snapshot: {at: number; bytes: Promise<Uint8Array>} | undefined;

  constructor(
    private readonly dependencies: PeerRecordsDependencies,
    private readonly keeper: StateKeeper,
  ) {
    dependencies.peerLinks.handle(PeerTopic.Records, async (_from, message) =>
      this.answer(message),
    );
  }

  /** Takes from a peer what follows this daemon's state, or the peer's whole state. */
  async pullFrom(peer: Peer): Promise<void> {
    const from = this.keeper.live.nextOffset;
    const answer = await this.ask(peer, from, false);
    if (answer.payloads) {
      await this.keeper.apply(answer.from, answer.payloads, RecordSource.Peer);
      return;
    }
    const {snapshot} = await this.ask(peer, from, true);
    if (!snapshot) return;
    const {trusted} = this.keeper.live;
    await this.keeper.restore(
      await decodeSnapshot(snapshot, trusted, restOfLoop),
    );
  }

  private async ask(
    peer: Peer,
    from: number,
    snapshot: boolean,
  ): Promise<RecordsAnswer> {
    const answer = await this.dependencies.peerLinks.request(
      peer.incarnation,
      PeerTopic.Records,
      {from, snapshot},
      REQUEST_MILLISECONDS,
    );
    return recordsAnswerSchema.parse(answer);
  }

  private async answer(message: unknown): Promise<RecordsAnswer> {
    const {from, snapshot} = recordsRequestSchema.parse(message);
    if (snapshot) return {from, snapshot: await this.ownSnapshot()};
    return {from, payloads: this.keeper.recent.from(from, ANSWER_BYTES)};
  }

  private ownSnapshot(): Promise<Uint8Array> {
    const now = this.dependencies.clock.monotonicMilliseconds();
    if (!this.snapshot || now - this.snapshot.at > SNAPSHOT_KEPT_MILLISECONDS) {
      const bytes = encodeSnapshot(this.keeper.live, restOfLoop);
      this.snapshot = {at: now, bytes};
    }
    return this.snapshot.bytes;
  }
}

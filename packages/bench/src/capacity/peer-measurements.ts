import {randomBytes} from 'node:crypto';
import {
  FrameKind,
  FrameAuthenticator,
  LinkSide,
  decodeFrame,
  encodeFrame,
} from '@gentiandoor/plugin-peers';
import {
  PeerTopic,
  sha256Hex,
  type Peer,
  type PeerLinks,
} from '@gentiandoor/shared-state';
import {sleep} from '@gentiandoor/kernel';
import {buildRouter} from '../scenarios/decisions-cost.js';
import {LINKS_OF_A_DAEMON} from './planned-deployment.js';
import {MeasuredLine} from './measured-line.js';
import {Unit, fastest, memoizeBySize, type Measurement} from './measurement.js';

const LINKS = [2, 8, 16, 32];
const TARGETS = [10, 40, 160, 640];
/** Enough requests per target that two random choices leave no target without one. */
const REQUESTS_PER_TARGET = 5;
const SUMMARY_MILLISECONDS = 300;
const KEY = 'peer key for measurements only';
const PEER: Peer = {name: 'entry-2', incarnation: 'two', dataCentre: 'hall-b'};

/** Records the last message broadcast to peers. */
class RecordingLinks implements PeerLinks {
  last: unknown;

  constructor(private readonly links: number) {}

  connected(): readonly Peer[] {
    return Array.from({length: this.links}, () => PEER);
  }

  broadcast(_topic: PeerTopic, message: unknown): void {
    this.last = message;
  }

  request(): Promise<unknown> {
    return Promise.reject(
      new Error('this benchmark sends no requests to peers'),
    );
  }

  setHandler(): void {}
}

const STATE_SUMMARY = {
  offset: 1_000_000,
  hash: randomBytes(8).toString('hex'),
  readsFormat: 1,
  version: 10_000,
  digest: sha256Hex('bundle'),
  isLogReachable: true,
  isServing: true,
};

function taggedFrame(
  topic: PeerTopic,
  body: unknown,
  authenticator: FrameAuthenticator,
): Buffer {
  return authenticator.prependTag(
    encodeFrame({kind: FrameKind.Message, topic, body}),
  );
}

function createAuthenticator(): FrameAuthenticator {
  return new FrameAuthenticator(KEY, LinkSide.Dialer, new Uint8Array(8));
}

function taggedFrameBytes(topic: PeerTopic, body: unknown): number {
  return taggedFrame(topic, body, createAuthenticator()).length;
}

/** Measures the microseconds to encode, tag, verify and decode a frame on each of `links` links. */
function frameMicroseconds(topic: PeerTopic, body: unknown, links: number) {
  const milliseconds = fastest(() => {
    for (let link = 0; link < links; link++) {
      const opened = createAuthenticator().verifyAndStripTag(
        taggedFrame(topic, body, createAuthenticator()),
      );
      if (!opened)
        throw new Error('the authentication tag of the frame does not match');
      decodeFrame(opened);
    }
  });
  return milliseconds * 1000;
}

/** Returns the summary that a router sends with `targets` targets in use. */
async function captureSummary(links: RecordingLinks, targets: number) {
  const {clock, router} = buildRouter({pools: 1, vms: targets}, links);
  const slots = await Promise.all(
    Array.from({length: targets * REQUESTS_PER_TARGET}, () =>
      router.acquire({service: 'pool-0', idempotent: true}),
    ),
  );
  await sleep(clock, SUMMARY_MILLISECONDS);
  for (const slot of slots) slot.release();
  if (!links.last) throw new Error('the router sent no summary to its peers');
  return links.last as {readonly expiryMilliseconds: number};
}

const targetSummary = memoizeBySize((targets: number) =>
  captureSummary(new RecordingLinks(1), targets),
);

/** Returns the expiry that a router sets in a summary to the links of a large deployment. */
async function expiryMilliseconds(targets: number): Promise<number> {
  const links = new RecordingLinks(LINKS_OF_A_DAEMON);
  return (await captureSummary(links, targets)).expiryMilliseconds;
}

/** Measurements of the messages between daemons. */
export const PEER_MEASUREMENTS: readonly Measurement[] = [
  {
    name: MeasuredLine.StateSummaryBytes,
    unit: Unit.Bytes,
    per: 'link',
    sizes: LINKS,
    measure: links =>
      links * taggedFrameBytes(PeerTopic.StateSummary, STATE_SUMMARY),
  },
  {
    name: MeasuredLine.StateSummaryTime,
    unit: Unit.Microseconds,
    per: 'link',
    sizes: LINKS,
    measure: links =>
      frameMicroseconds(PeerTopic.StateSummary, STATE_SUMMARY, links),
  },
  {
    name: MeasuredLine.TargetSummaryBytes,
    unit: Unit.Bytes,
    per: 'target in use',
    sizes: TARGETS,
    measure: async targets =>
      taggedFrameBytes(PeerTopic.TargetSummary, await targetSummary(targets)),
  },
  {
    name: MeasuredLine.TargetSummaryExpiry,
    unit: Unit.Milliseconds,
    per: 'target in use',
    sizes: TARGETS,
    measure: expiryMilliseconds,
  },
  {
    name: MeasuredLine.TargetSummaryTime,
    unit: Unit.Microseconds,
    per: 'target in use',
    sizes: TARGETS,
    measure: async targets =>
      frameMicroseconds(
        PeerTopic.TargetSummary,
        await targetSummary(targets),
        1,
      ),
  },
];

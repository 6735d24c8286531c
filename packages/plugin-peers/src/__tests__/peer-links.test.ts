import assert from 'node:assert/strict';
import {createServer, connect, type Server, type Socket} from 'node:net';
import {afterEach, describe, it} from 'node:test';
import {WebSocket} from 'ws';
import {
  MemoryMetrics,
  MetricName,
  SeededRandom,
  SilentLogger,
  SystemClock,
  splitAddress,
} from '@gentiandoor/kernel';
import {PeerDirectory, PeerTopic} from '@gentiandoor/shared-state';
import {peersOptions} from '../peers-options.js';
import {WebSocketPeerLinks} from '../web-socket-peer-links.js';

const KEY = 'a key for tests only';
const clock = new SystemClock();

class TestDaemon {
  readonly metrics = new MemoryMetrics();
  readonly peerDirectory = new PeerDirectory();
  readonly links: WebSocketPeerLinks;

  constructor(
    readonly name: string,
    settings: Record<string, unknown> = {},
  ) {
    this.links = new WebSocketPeerLinks({
      identity: {name, dataCentre: 'hall-a', incarnation: `${name}-1`},
      clock,
      random: new SeededRandom(1),
      logger: new SilentLogger(),
      metrics: this.metrics,
      peerDirectory: this.peerDirectory,
      peersOptions: peersOptions.parse({
        listen: '127.0.0.1:0',
        key: KEY,
        ...settings,
      }),
    });
  }

  get address(): string {
    return this.peerDirectory.ownAddress ?? '';
  }

  setKnownPeers(
    ...others: ReadonlyArray<{name: string; address: string}>
  ): void {
    this.peerDirectory.replace(
      others.map(({name, address}) => ({
        name,
        address,
        incarnation: `${name}-1`,
        dataCentre: 'hall-a',
      })),
    );
  }

  disconnects(reason: string): number {
    return this.metrics.value(MetricName.PeerDisconnects, {reason});
  }
}

/** Polls until the condition holds; the timeout of the test is the limit. */
async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise(resolve => setTimeout(resolve, 5));
}

describe('WebSocketPeerLinks', {timeout: 20_000}, () => {
  const running: Array<{stop(): Promise<void>}> = [];

  afterEach(async () => {
    for (const item of running.splice(0)) await item.stop();
  });

  async function startDaemon(
    name: string,
    settings: Record<string, unknown> = {},
  ): Promise<TestDaemon> {
    const daemon = new TestDaemon(name, settings);
    await daemon.links.start();
    running.push(daemon.links);
    return daemon;
  }

  describe('between two daemons with the same key', () => {
    it('carries a request and its response over a single link', async () => {
      const left = await startDaemon('entry-1');
      const right = await startDaemon('entry-2');
      right.links.setHandler(
        PeerTopic.TargetSummary,
        async (from, message) => ({
          from: from.name,
          message,
        }),
      );
      left.setKnownPeers(right);
      right.setKnownPeers(left);
      await waitUntil(() => left.links.connected().length === 1);
      await waitUntil(() => right.links.connected().length === 1);
      const answer = await left.links.request(
        'entry-2-1',
        PeerTopic.TargetSummary,
        {load: 3},
        5000,
      );
      assert.deepEqual(answer, {from: 'entry-1', message: {load: 3}});
    });

    it('reconnects after the link was lost', async () => {
      const left = await startDaemon('entry-1');
      const right = await startDaemon('entry-2');
      left.setKnownPeers(right);
      await waitUntil(() => right.links.connected().length === 1);
      await right.links.stop();
      await waitUntil(() => left.links.connected().length === 0);
      const again = await startDaemon('entry-3', {listen: right.address});
      await waitUntil(() => again.links.connected().length === 1);
    });

    it('finds a daemon by its seed address when the log has not named it', async () => {
      const left = await startDaemon('entry-1');
      const right = await startDaemon('entry-2', {seeds: left.address});
      await waitUntil(() => right.links.connected().length === 1);
      assert.equal(right.links.connected()[0].name, 'entry-1');
    });

    it('opens an extra link for a request to a daemon that is not a chosen peer', async () => {
      const left = await startDaemon('entry-1', {local_links: 0});
      const right = await startDaemon('entry-2', {local_links: 0});
      right.links.setHandler(PeerTopic.KeyedAnswer, async () => 'held');
      left.setKnownPeers(right);
      assert.equal(left.links.connected().length, 0);
      const answer = await left.links.request(
        'entry-2-1',
        PeerTopic.KeyedAnswer,
        'key',
        5000,
      );
      assert.equal(answer, 'held');
    });

    it('rejects the request when the handler of the peer failed', async () => {
      const left = await startDaemon('entry-1');
      const right = await startDaemon('entry-2');
      left.setKnownPeers(right);
      await waitUntil(() => left.links.connected().length === 1);
      await assert.rejects(
        left.links.request('entry-2-1', PeerTopic.Records, {}, 5000),
        /no handler for records/,
      );
    });
  });

  describe('with a different key', () => {
    it('refuses the link and counts the refusal', async () => {
      const left = await startDaemon('entry-1');
      const right = await startDaemon('entry-2', {key: 'quite another key'});
      left.setKnownPeers(right);
      await waitUntil(() => right.disconnects('refused') > 0);
      assert.equal(right.links.connected().length, 0);
      assert.equal(left.links.connected().length, 0);
    });
  });

  describe('with frames that violate the protocol', () => {
    it('closes and counts the link and still accepts others', async () => {
      const left = await startDaemon('entry-1');
      const socket = new WebSocket(`ws://${left.address}`);
      socket.on('open', () => socket.send(Buffer.from([0xc1, 0xff, 0x00])));
      await waitUntil(() => left.disconnects('malformed') === 1);
      const right = await startDaemon('entry-2', {seeds: left.address});
      await waitUntil(() => right.links.connected().length === 1);
    });

    it('closes a connection that never sends a hello', async () => {
      const left = await startDaemon('entry-1', {handshake_milliseconds: 100});
      const socket = new WebSocket(`ws://${left.address}`);
      await waitUntil(() => left.disconnects('handshake_timeout') === 1);
      socket.terminate();
    });
  });

  describe('over a connection that goes silent', () => {
    // A device between the daemons drops every byte while both connections stay open. Each end
    // must detect the silence and close the link by itself. A new connection over the same path
    // works, so the link must be re-established.
    it('closes the link at both ends and reconnects', async () => {
      const quick = {ping_milliseconds: 50, silent_milliseconds: 300};
      const right = await startDaemon('entry-2', quick);
      const relay = await Relay.start(right.address);
      running.push(relay);
      const left = await startDaemon('entry-1', {
        ...quick,
        seeds: relay.address,
      });
      await waitUntil(() => left.links.connected().length === 1);
      relay.silence();
      await waitUntil(() => left.disconnects('silent') === 1);
      await waitUntil(() => right.disconnects('silent') === 1);
      await waitUntil(() => left.links.connected().length === 1);
      await waitUntil(() => right.links.connected().length === 1);
    });
  });

  describe('with a peer that stops reading', () => {
    // The event loop of a peer hangs: its kernel accepts some bytes, then none. The send queue
    // must fill only to its limit, with further messages dropped and counted, and the link must
    // be closed after `slow_milliseconds`. Otherwise the sender's memory would grow without limit.
    it('drops messages, then closes the link', async () => {
      const left = await startDaemon('entry-1', {
        ping_milliseconds: 50,
        silent_milliseconds: 60_000,
        slow_milliseconds: 200,
        queue_bytes: 100_000,
      });
      const relay = await Relay.start(left.address);
      running.push(relay);
      const right = await startDaemon('entry-2', {seeds: relay.address});
      await waitUntil(() => left.links.connected().length === 1);
      relay.stall();
      const body = Buffer.alloc(50_000);
      const flood = setInterval(
        () => left.links.broadcast(PeerTopic.TargetSummary, body),
        1,
      );
      await waitUntil(() => left.disconnects('slow') === 1);
      clearInterval(flood);
      const dropped = left.metrics.value(MetricName.PeerMessagesDropped, {
        reason: 'queue_full',
      });
      assert.ok(dropped > 0);
      assert.ok(right);
    });
  });
});

/** A TCP relay that can silently drop or stall the connections it carries. */
class Relay {
  private readonly pairs: Array<{client: Socket; server: Socket}> = [];

  private constructor(
    private readonly listener: Server,
    readonly address: string,
  ) {}

  static async start(target: string): Promise<Relay> {
    const listener = createServer();
    await new Promise<void>(resolve =>
      listener.listen(0, '127.0.0.1', resolve),
    );
    const address = listener.address();
    const port = typeof address === 'object' && address ? address.port : 0;
    const relay = new Relay(listener, `127.0.0.1:${port}`);
    listener.on('connection', client => relay.join(client, target));
    return relay;
  }

  /** Drops all bytes of the connections that are open now; new connections work. */
  silence(): void {
    for (const {client, server} of this.pairs.splice(0)) {
      client.unpipe(server);
      server.unpipe(client);
      client.resume();
      server.resume();
    }
  }

  /** Stops reading from either end. */
  stall(): void {
    for (const {client, server} of this.pairs) {
      client.unpipe(server);
      server.unpipe(client);
      client.pause();
      server.pause();
    }
  }

  async stop(): Promise<void> {
    for (const {client, server} of this.pairs) {
      client.destroy();
      server.destroy();
    }
    await new Promise<void>(resolve => this.listener.close(() => resolve()));
  }

  private join(client: Socket, target: string): void {
    const server = connect(splitAddress(target));
    client.on('error', () => undefined);
    server.on('error', () => undefined);
    client.pipe(server);
    server.pipe(client);
    this.pairs.push({client, server});
  }
}

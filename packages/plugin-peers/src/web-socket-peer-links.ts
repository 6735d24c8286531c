import {WebSocket, WebSocketServer} from 'ws';
import {
  LogEvent,
  MetricName,
  backoff,
  sleep,
  splitAddress,
  toError,
  type Clock,
  type DaemonIdentity,
  type Logger,
  type Metrics,
  type Plugin,
  type RandomSource,
} from '@gentiandoor/kernel';
import type {
  Peer,
  PeerDirectory,
  PeerHandler,
  PeerLinks,
  PeerTopic,
} from '@gentiandoor/shared-state';
import {ExtraLinks} from './extra-links.js';
import {FrameInbox} from './frame-inbox.js';
import {LinkTable} from './link-table.js';
import {choosePeers, type PeerCandidate} from './peer-choice.js';
import {PeerEnd, PeerEndError} from './peer-end.js';
import {shakeHands} from './peer-handshake.js';
import {PeerLink} from './peer-link.js';
import {LinkSide} from './peer-seal.js';
import type {PeersOptions} from './peers-options.js';

const BACKOFF_BASE_MILLISECONDS = 200;
const BACKOFF_MAXIMUM_MILLISECONDS = 10_000;
/** Connections that may be in their handshake; more are closed at once. */
const MOST_HANDSHAKES = 64;

/** What the links need. */
export interface PeerLinksDependencies {
  readonly identity: DaemonIdentity;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly peerDirectory: PeerDirectory;
  readonly peersOptions: PeersOptions;
}

/** Links to other daemons over WebSocket: one task for each peer dialled and each connection taken. */
export class WebSocketPeerLinks implements PeerLinks, Plugin {
  private readonly handlers = new Map<PeerTopic, PeerHandler>();
  private readonly table: LinkTable;
  private readonly extras: ExtraLinks;
  private readonly dialled = new Map<string, AbortController>();
  private readonly tasks = new Set<Promise<void>>();
  private readonly stopping = new AbortController();
  private readonly fraction: number;
  /** Which daemon answered at an address: a seed names no daemon before that. */
  private readonly nameAt = new Map<string, string>();
  private server: WebSocketServer | undefined;
  private handshakes = 0;

  constructor(private readonly dependencies: PeerLinksDependencies) {
    this.table = new LinkTable(dependencies.identity);
    this.fraction = dependencies.random.nextFraction();
    this.extras = new ExtraLinks({
      clock: dependencies.clock,
      peerDirectory: dependencies.peerDirectory,
      limit: dependencies.peersOptions.extra_links,
      dial: (address, signal, onUp) => this.dial(address, signal, onUp),
      spawn: task => this.spawn(task),
    });
    dependencies.peerDirectory.onChange(() => this.choose());
  }

  get boundAddress(): string | undefined {
    const bound = this.server?.address();
    if (typeof bound !== 'object' || bound === null) return undefined;
    return `${bound.address}:${bound.port}`;
  }

  async start(): Promise<void> {
    const {peersOptions: options, peerDirectory} = this.dependencies;
    if (!options.listen) return;
    const {host, port} = splitAddress(options.listen);
    const server = new WebSocketServer({
      host,
      port,
      maxPayload: options.frame_bytes,
      perMessageDeflate: false,
    });
    await new Promise<void>((resolve, reject) => {
      server.once('listening', resolve);
      server.once('error', reject);
    });
    this.server = server;
    peerDirectory.ownAddress = this.boundAddress;
    server.on('connection', socket => this.spawn(this.serve(socket)));
    this.choose();
  }

  async stop(): Promise<void> {
    this.stopping.abort();
    for (const dialling of this.dialled.values()) dialling.abort();
    for (const link of this.table.all()) link.close(PeerEnd.Stopped);
    for (const socket of this.server?.clients ?? []) socket.terminate();
    await new Promise<void>(resolve => {
      if (this.server) this.server.close(() => resolve());
      else resolve();
    });
    await Promise.all(this.tasks);
  }

  connected(): readonly Peer[] {
    return this.table.all().map(link => link.peer);
  }

  broadcast(topic: PeerTopic, message: unknown): void {
    for (const link of this.table.all()) link.send(topic, message);
  }

  async request(
    incarnation: string,
    topic: PeerTopic,
    message: unknown,
    timeoutMilliseconds: number,
  ): Promise<unknown> {
    const link =
      this.table.get(incarnation) ?? (await this.openExtra(incarnation));
    return link.request(topic, message, timeoutMilliseconds);
  }

  handle(topic: PeerTopic, handler: PeerHandler): void {
    this.handlers.set(topic, handler);
  }

  private openExtra(incarnation: string): Promise<PeerLink> {
    if (this.server) return this.extras.openTo(incarnation);
    return Promise.reject(new Error(`no link to ${incarnation}`));
  }

  /** Starts a task for each peer that is chosen now, and ends those of the others. */
  private choose(): void {
    if (!this.server || this.stopping.signal.aborted) return;
    const chosen = new Map(
      this.chosenPeers().map(candidate => [candidate.address, candidate]),
    );
    for (const [address, dialling] of this.dialled) {
      if (chosen.has(address)) continue;
      dialling.abort();
      this.dialled.delete(address);
    }
    for (const candidate of chosen.values()) {
      if (this.dialled.has(candidate.address)) continue;
      const dialling = new AbortController();
      this.dialled.set(candidate.address, dialling);
      this.spawn(this.keepLinked(candidate, dialling.signal));
    }
  }

  private chosenPeers(): PeerCandidate[] {
    const {identity, peerDirectory, peersOptions: options} = this.dependencies;
    const known = peerDirectory.entries();
    const self = {
      name: identity.name,
      dataCentre: identity.dataCentre,
      address: peerDirectory.ownAddress ?? '',
    };
    const bounds = {local: options.local_links, remote: options.remote_links};
    const chosen = choosePeers(self, known, bounds, this.fraction);
    const knownAddresses = new Set(known.map(entry => entry.address));
    const seeds = options.seeds.filter(
      address => address !== self.address && !knownAddresses.has(address),
    );
    return [
      ...chosen,
      ...seeds.map(address => ({name: '', dataCentre: '', address})),
    ];
  }

  /** The task of one chosen peer: dials, carries the link, and comes back with growing pauses. */
  private async keepLinked(
    candidate: PeerCandidate,
    signal: AbortSignal,
  ): Promise<void> {
    const {clock, random, peersOptions: options} = this.dependencies;
    let attempt = 0;
    while (!signal.aborted) {
      if (this.isLinked(candidate)) {
        await sleep(clock, options.ping_milliseconds, signal);
        continue;
      }
      const before = clock.monotonicMilliseconds();
      await this.dial(candidate.address, signal);
      const lasted = clock.monotonicMilliseconds() - before;
      attempt = lasted > BACKOFF_MAXIMUM_MILLISECONDS ? 0 : attempt + 1;
      const pause = backoff(
        random,
        attempt - 1,
        BACKOFF_BASE_MILLISECONDS,
        BACKOFF_MAXIMUM_MILLISECONDS,
      );
      await sleep(clock, pause, signal);
    }
  }

  private isLinked(candidate: PeerCandidate): boolean {
    const name = candidate.name || this.nameAt.get(candidate.address);
    if (name === undefined) return false;
    return name === this.dependencies.identity.name || this.table.hasName(name);
  }

  private async dial(
    address: string,
    signal: AbortSignal,
    onUp?: (link: PeerLink) => void,
  ): Promise<void> {
    const {peersOptions: options} = this.dependencies;
    const socket = new WebSocket(`ws://${address}`, {
      maxPayload: options.frame_bytes,
      perMessageDeflate: false,
      handshakeTimeout: options.handshake_milliseconds,
    });
    const inbox = new FrameInbox(socket);
    const cut = () => socket.terminate();
    signal.addEventListener('abort', cut, {once: true});
    try {
      if (!(await opened(socket))) return;
      await this.carry(socket, inbox, LinkSide.Dialer, link => {
        this.nameAt.set(address, link.peer.name);
        onUp?.(link);
      });
    } finally {
      signal.removeEventListener('abort', cut);
      socket.terminate();
    }
  }

  /** The task of one connection that another daemon opened. */
  private async serve(socket: WebSocket): Promise<void> {
    socket.on('error', () => undefined);
    if (this.handshakes >= MOST_HANDSHAKES) {
      this.count(PeerEnd.Refused);
      socket.terminate();
      return;
    }
    await this.carry(socket, new FrameInbox(socket), LinkSide.Listener);
    socket.terminate();
  }

  private async carry(
    socket: WebSocket,
    inbox: FrameInbox,
    side: LinkSide,
    onUp?: (link: PeerLink) => void,
  ): Promise<void> {
    let link: PeerLink;
    try {
      link = await this.makeLink(socket, inbox, side);
    } catch (error) {
      this.noteRefusal(toError(error));
      return;
    }
    const {logger} = this.dependencies;
    if (this.table.add(link))
      logger.info(LogEvent.PeerConnected, {...link.peer, side});
    onUp?.(this.table.get(link.peer.incarnation) ?? link);
    const end = await link.run();
    this.table.remove(link);
    this.count(end);
    if (!this.table.get(link.peer.incarnation))
      logger.info(LogEvent.PeerLost, {...link.peer, reason: end});
  }

  private async makeLink(
    socket: WebSocket,
    inbox: FrameInbox,
    side: LinkSide,
  ): Promise<PeerLink> {
    const {identity, clock, metrics, peersOptions: options} = this.dependencies;
    let isLate = false;
    const deadline = clock.schedule(options.handshake_milliseconds, () => {
      isLate = true;
      socket.terminate();
    });
    this.handshakes++;
    try {
      const key = options.key ?? '';
      const terms = await shakeHands(socket, inbox, side, identity, key);
      const {handlers} = this;
      const needs = {clock, metrics, options, handlers};
      return new PeerLink(socket, inbox, terms, side, needs);
    } catch (error) {
      if (isLate)
        throw new PeerEndError(
          PeerEnd.HandshakeTimeout,
          'no handshake in time',
        );
      throw error;
    } finally {
      this.handshakes--;
      deadline.cancel();
    }
  }

  private noteRefusal(error: Error): void {
    const reason =
      error instanceof PeerEndError ? error.end : PeerEnd.Malformed;
    this.count(reason);
    if (reason === PeerEnd.Doubled || reason === PeerEnd.Closed) return;
    const {logger} = this.dependencies;
    logger.warn(LogEvent.PeerRefused, {reason, error: error.message});
  }

  private count(reason: PeerEnd): void {
    const {metrics} = this.dependencies;
    metrics.increment(MetricName.PeerDisconnects, {reason});
  }

  private spawn(task: Promise<void>): void {
    const guarded = task
      .catch((error: unknown) => this.noteRefusal(toError(error)))
      .finally(() => this.tasks.delete(guarded));
    this.tasks.add(guarded);
  }
}

function opened(socket: WebSocket): Promise<boolean> {
  return new Promise(resolve => {
    socket.once('open', () => resolve(true));
    socket.once('close', () => resolve(false));
    socket.on('error', () => resolve(false));
  });
}

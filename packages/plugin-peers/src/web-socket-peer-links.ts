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
import {PeerDisconnectReason, PeerDisconnectError} from './peer-disconnect.js';
import {performHandshake} from './peer-handshake.js';
import {PeerLink} from './peer-link.js';
import {LinkSide} from './frame-authentication.js';
import type {PeersOptions} from './peers-options.js';

const BACKOFF_BASE_MILLISECONDS = 200;
const BACKOFF_MAXIMUM_MILLISECONDS = 10_000;
/**
 * Maximum incoming and outgoing handshakes in flight; further incoming connections are closed
 * at once.
 */
const MAXIMUM_HANDSHAKES_IN_FLIGHT = 64;

/** Dependencies of `WebSocketPeerLinks`. */
export interface PeerLinksDependencies {
  readonly identity: DaemonIdentity;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly peerDirectory: PeerDirectory;
  readonly peersOptions: PeersOptions;
}

/**
 * Links to other daemons over WebSocket, with one task per dialled peer and per accepted
 * connection.
 */
export class WebSocketPeerLinks implements PeerLinks, Plugin {
  private readonly handlers = new Map<PeerTopic, PeerHandler>();
  private readonly linkTable: LinkTable;
  private readonly extraLinks: ExtraLinks;
  private readonly dialAbortByAddress = new Map<string, AbortController>();
  private readonly tasks = new Set<Promise<void>>();
  private readonly stopping = new AbortController();
  private readonly selectionFraction: number;
  /**
   * Name of the daemon that answered at an address: the name behind a seed is unknown before
   * that.
   */
  private readonly nameByAddress = new Map<string, string>();
  private server: WebSocketServer | undefined;
  private handshakesInFlight = 0;

  constructor(private readonly dependencies: PeerLinksDependencies) {
    this.linkTable = new LinkTable(dependencies.identity);
    this.selectionFraction = dependencies.random.nextFraction();
    this.extraLinks = new ExtraLinks({
      clock: dependencies.clock,
      peerDirectory: dependencies.peerDirectory,
      maximumLinks: dependencies.peersOptions.extra_links,
      dial: (address, signal, onUp) => this.dial(address, signal, onUp),
      trackTask: task => this.trackTask(task),
    });
    dependencies.peerDirectory.onChange(() => this.updateDialledPeers());
  }

  get boundAddress(): string | undefined {
    const address = this.server?.address();
    if (typeof address !== 'object' || address === null) return undefined;
    return `${address.address}:${address.port}`;
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
    server.on('connection', socket =>
      this.trackTask(this.acceptConnection(socket)),
    );
    this.updateDialledPeers();
  }

  async stop(): Promise<void> {
    this.stopping.abort();
    for (const dialAbort of this.dialAbortByAddress.values()) dialAbort.abort();
    for (const link of this.linkTable.all())
      link.close(PeerDisconnectReason.Stopped);
    for (const socket of this.server?.clients ?? []) socket.terminate();
    await new Promise<void>(resolve => {
      if (this.server) this.server.close(() => resolve());
      else resolve();
    });
    await Promise.all(this.tasks);
  }

  connected(): readonly Peer[] {
    return this.linkTable.all().map(link => link.peer);
  }

  broadcast(topic: PeerTopic, message: unknown): void {
    for (const link of this.linkTable.all()) link.send(topic, message);
  }

  async request(
    incarnation: string,
    topic: PeerTopic,
    message: unknown,
    timeoutMilliseconds: number,
  ): Promise<unknown> {
    const link =
      this.linkTable.get(incarnation) ??
      (await this.openExtraLink(incarnation));
    return link.request(topic, message, timeoutMilliseconds);
  }

  setHandler(topic: PeerTopic, handler: PeerHandler): void {
    this.handlers.set(topic, handler);
  }

  private openExtraLink(incarnation: string): Promise<PeerLink> {
    if (this.server) return this.extraLinks.openTo(incarnation);
    return Promise.reject(new Error(`no link to ${incarnation}`));
  }

  /** Starts a task for each newly chosen peer and aborts those of peers no longer chosen. */
  private updateDialledPeers(): void {
    if (!this.server || this.stopping.signal.aborted) return;
    const chosen = new Map(
      this.chosenPeers().map(candidate => [candidate.address, candidate]),
    );
    for (const [address, dialAbort] of this.dialAbortByAddress) {
      if (chosen.has(address)) continue;
      dialAbort.abort();
      this.dialAbortByAddress.delete(address);
    }
    for (const candidate of chosen.values()) {
      if (this.dialAbortByAddress.has(candidate.address)) continue;
      const dialAbort = new AbortController();
      this.dialAbortByAddress.set(candidate.address, dialAbort);
      this.trackTask(this.maintainLink(candidate, dialAbort.signal));
    }
  }

  private chosenPeers(): PeerCandidate[] {
    const {identity, peerDirectory, peersOptions: options} = this.dependencies;
    const knownPeers = peerDirectory.entries();
    const self = {
      name: identity.name,
      dataCentre: identity.dataCentre,
      address: peerDirectory.ownAddress ?? '',
    };
    const limits = {local: options.local_links, remote: options.remote_links};
    const chosen = choosePeers(
      self,
      knownPeers,
      limits,
      this.selectionFraction,
    );
    const knownAddresses = new Set(knownPeers.map(entry => entry.address));
    const seeds = options.seeds.filter(
      address => address !== self.address && !knownAddresses.has(address),
    );
    return [
      ...chosen,
      ...seeds.map(address => ({name: '', dataCentre: '', address})),
    ];
  }

  /**
   * Keeps a link to one chosen peer: dials, runs the link, and retries with exponential
   * backoff.
   */
  private async maintainLink(
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
      const dialledAt = clock.monotonicMilliseconds();
      await this.dial(candidate.address, signal);
      const durationMilliseconds = clock.monotonicMilliseconds() - dialledAt;
      attempt =
        durationMilliseconds > BACKOFF_MAXIMUM_MILLISECONDS ? 0 : attempt + 1;
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
    const name = candidate.name || this.nameByAddress.get(candidate.address);
    if (name === undefined) return false;
    return (
      name === this.dependencies.identity.name || this.linkTable.hasName(name)
    );
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
    const terminate = () => socket.terminate();
    signal.addEventListener('abort', terminate, {once: true});
    try {
      if (!(await waitForOpen(socket))) return;
      await this.runLink(socket, inbox, LinkSide.Dialer, link => {
        this.nameByAddress.set(address, link.peer.name);
        onUp?.(link);
      });
    } finally {
      signal.removeEventListener('abort', terminate);
      socket.terminate();
    }
  }

  /** Runs the link over a connection that another daemon opened. */
  private async acceptConnection(socket: WebSocket): Promise<void> {
    socket.on('error', () => undefined);
    if (this.handshakesInFlight >= MAXIMUM_HANDSHAKES_IN_FLIGHT) {
      this.countDisconnect(PeerDisconnectReason.Refused);
      socket.terminate();
      return;
    }
    await this.runLink(socket, new FrameInbox(socket), LinkSide.Listener);
    socket.terminate();
  }

  private async runLink(
    socket: WebSocket,
    inbox: FrameInbox,
    side: LinkSide,
    onUp?: (link: PeerLink) => void,
  ): Promise<void> {
    let link: PeerLink;
    try {
      link = await this.establishLink(socket, inbox, side);
    } catch (error) {
      this.reportFailure(toError(error));
      return;
    }
    const {logger} = this.dependencies;
    if (this.linkTable.add(link))
      logger.info(LogEvent.PeerConnected, {...link.peer, side});
    onUp?.(this.linkTable.get(link.peer.incarnation) ?? link);
    const disconnectReason = await link.run();
    this.linkTable.remove(link);
    this.countDisconnect(disconnectReason);
    if (!this.linkTable.get(link.peer.incarnation))
      logger.info(LogEvent.PeerLost, {...link.peer, reason: disconnectReason});
  }

  private async establishLink(
    socket: WebSocket,
    inbox: FrameInbox,
    side: LinkSide,
  ): Promise<PeerLink> {
    const {identity, clock, metrics, peersOptions: options} = this.dependencies;
    let hasTimedOut = false;
    const timer = clock.schedule(options.handshake_milliseconds, () => {
      hasTimedOut = true;
      socket.terminate();
    });
    this.handshakesInFlight++;
    try {
      const key = options.key ?? '';
      const handshake = await performHandshake(
        socket,
        inbox,
        side,
        identity,
        key,
      );
      const {handlers} = this;
      const dependencies = {clock, metrics, options, handlers};
      return new PeerLink(socket, inbox, handshake, side, dependencies);
    } catch (error) {
      if (hasTimedOut)
        throw new PeerDisconnectError(
          PeerDisconnectReason.HandshakeTimeout,
          'the handshake did not complete in time',
        );
      throw error;
    } finally {
      this.handshakesInFlight--;
      timer.cancel();
    }
  }

  private reportFailure(error: Error): void {
    const reason =
      error instanceof PeerDisconnectError
        ? error.reason
        : PeerDisconnectReason.Malformed;
    this.countDisconnect(reason);
    if (
      reason === PeerDisconnectReason.Duplicate ||
      reason === PeerDisconnectReason.Closed
    )
      return;
    const {logger} = this.dependencies;
    logger.warn(LogEvent.PeerRefused, {reason, error: error.message});
  }

  private countDisconnect(reason: PeerDisconnectReason): void {
    const {metrics} = this.dependencies;
    metrics.increment(MetricName.PeerDisconnects, {reason});
  }

  private trackTask(task: Promise<void>): void {
    const guarded = task
      .catch((error: unknown) => this.reportFailure(toError(error)))
      .finally(() => this.tasks.delete(guarded));
    this.tasks.add(guarded);
  }
}

function waitForOpen(socket: WebSocket): Promise<boolean> {
  return new Promise(resolve => {
    socket.once('open', () => resolve(true));
    socket.once('close', () => resolve(false));
    socket.on('error', () => resolve(false));
  });
}

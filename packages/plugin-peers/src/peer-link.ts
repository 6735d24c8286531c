import type {WebSocket} from 'ws';
import {
  MetricName,
  sleep,
  toError,
  type Clock,
  type Metrics,
  type Timer,
} from '@gentiandoor/kernel';
import type {Peer, PeerHandler, PeerTopic} from '@gentiandoor/shared-state';
import type {FrameInbox} from './frame-inbox.js';
import {PeerDisconnectReason, PeerDisconnectError} from './peer-disconnect.js';
import {
  FrameKind,
  decodeFrame,
  encodeFrame,
  type Frame,
} from './peer-frames.js';
import type {HandshakeResult} from './peer-handshake.js';
import type {LinkSide} from './frame-authentication.js';
import type {PeersOptions} from './peers-options.js';

/**
 * Maximum messages of one peer handled concurrently; more are refused, so that one peer cannot
 * overload the daemon.
 */
const MAXIMUM_HANDLERS_IN_FLIGHT = 32;
/** Maximum requests to one peer that wait for a response. */
const MAXIMUM_PENDING_REQUESTS = 1000;

/** Dependencies of `PeerLink` besides its connection. */
export interface LinkDependencies {
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly options: PeersOptions;
  readonly handlers: ReadonlyMap<PeerTopic, PeerHandler>;
}

interface PendingRequest {
  readonly resolve: (body: unknown) => void;
  readonly reject: (error: Error) => void;
}

/** A link to one peer, after the handshake. */
export class PeerLink {
  readonly peer: Peer;
  /**
   * Monotonic milliseconds of the last message in either direction, used to close idle extra
   * links.
   */
  lastUsedAt: number;
  private lastReceivedAt: number;
  private queueFullSince: number | undefined;
  private handlersInFlight = 0;
  private nextRequestId = 0;
  private readonly pendingRequests = new Map<number, PendingRequest>();
  private closeReason: PeerDisconnectReason | undefined;
  private retirementTimer: Timer | undefined;

  constructor(
    private readonly socket: WebSocket,
    private readonly inbox: FrameInbox,
    private readonly handshake: HandshakeResult,
    /** The side of the link that this daemon is on. */
    readonly side: LinkSide,
    private readonly dependencies: LinkDependencies,
  ) {
    this.peer = handshake.peer;
    this.lastReceivedAt = dependencies.clock.monotonicMilliseconds();
    this.lastUsedAt = this.lastReceivedAt;
    const onReceived = () =>
      (this.lastReceivedAt = dependencies.clock.monotonicMilliseconds());
    socket.on('ping', onReceived);
    socket.on('pong', onReceived);
    socket.on('message', onReceived);
  }

  /** Handles frames until the link closes; resolves with the reason. */
  async run(): Promise<PeerDisconnectReason> {
    const done = new AbortController();
    const monitoring = this.monitorConnection(done.signal);
    try {
      for (;;) {
        const taggedFrame = await this.inbox.next();
        if (!taggedFrame)
          return this.closeReason ?? PeerDisconnectReason.Closed;
        this.receiveFrame(taggedFrame);
      }
    } catch (error) {
      return error instanceof PeerDisconnectError
        ? error.reason
        : PeerDisconnectReason.Malformed;
    } finally {
      done.abort();
      await monitoring;
      this.close(PeerDisconnectReason.Closed);
    }
  }

  /** Closes the link and rejects pending requests. The first reason given is kept. */
  close(reason: PeerDisconnectReason): void {
    this.closeReason ??= reason;
    this.retirementTimer?.cancel();
    this.socket.terminate();
    for (const {reject} of this.pendingRequests.values())
      reject(new Error(`the link to ${this.peer.name} was closed`));
    this.pendingRequests.clear();
  }

  /**
   * Closes this link in favour of another link to the same peer, after a delay. Requests in
   * flight on either side get `handshake_milliseconds` to finish: closed at once, some would
   * fail each time two daemons dial each other.
   */
  retire(): void {
    const {clock, options} = this.dependencies;
    this.retirementTimer = clock.schedule(options.handshake_milliseconds, () =>
      this.close(PeerDisconnectReason.Duplicate),
    );
  }

  /** Sends a message without a response; false when it was dropped. */
  send(topic: PeerTopic, body: unknown): boolean {
    return this.sendFrame({kind: FrameKind.Message, topic, body});
  }

  /** Sends a request and waits for the response. */
  async request(
    topic: PeerTopic,
    body: unknown,
    timeoutMilliseconds: number,
  ): Promise<unknown> {
    if (this.pendingRequests.size >= MAXIMUM_PENDING_REQUESTS)
      throw new Error(`too many requests are waiting for ${this.peer.name}`);
    const id = this.nextRequestId++;
    const response = new Promise<unknown>((resolve, reject) =>
      this.pendingRequests.set(id, {resolve, reject}),
    );
    const timer = this.dependencies.clock.schedule(timeoutMilliseconds, () =>
      this.pendingRequests
        .get(id)
        ?.reject(new Error(`${this.peer.name} did not respond in time`)),
    );
    if (!this.sendFrame({kind: FrameKind.Request, topic, id, body}))
      this.pendingRequests
        .get(id)
        ?.reject(new Error(`the send queue to ${this.peer.name} is full`));
    try {
      return await response;
    } finally {
      timer.cancel();
      this.pendingRequests.delete(id);
    }
  }

  private receiveFrame(taggedFrame: Uint8Array): void {
    const payload = this.handshake.incoming.verifyAndStripTag(taggedFrame);
    if (!payload)
      throw new PeerDisconnectError(
        PeerDisconnectReason.Malformed,
        'the authentication tag of a frame is wrong',
      );
    const {clock, metrics} = this.dependencies;
    this.lastUsedAt = clock.monotonicMilliseconds();
    metrics.increment(MetricName.PeerMessages, {direction: 'in'});
    const frame = decodeFrame(payload);
    if (frame.kind === FrameKind.Answer)
      this.pendingRequests.get(frame.id)?.resolve(frame.body);
    else if (frame.kind === FrameKind.Failure)
      this.pendingRequests.get(frame.id)?.reject(new Error(frame.error));
    else void this.dispatchFrame(frame);
  }

  private async dispatchFrame(
    frame: Extract<Frame, {kind: FrameKind.Message | FrameKind.Request}>,
  ): Promise<void> {
    const reply = (answer: Frame) => {
      if (frame.kind === FrameKind.Request) this.sendFrame(answer);
    };
    const id = frame.kind === FrameKind.Request ? frame.id : 0;
    if (this.handlersInFlight >= MAXIMUM_HANDLERS_IN_FLIGHT) {
      this.countDropped('busy');
      reply({kind: FrameKind.Failure, id, error: 'busy'});
      return;
    }
    this.handlersInFlight++;
    try {
      const handler = this.dependencies.handlers.get(frame.topic);
      if (!handler) throw new Error(`no handler for ${frame.topic}`);
      const body = await handler(this.peer, frame.body);
      reply({kind: FrameKind.Answer, id, body});
    } catch (error) {
      reply({kind: FrameKind.Failure, id, error: toError(error).message});
    } finally {
      this.handlersInFlight--;
    }
  }

  private sendFrame(frame: Frame): boolean {
    const {clock, metrics, options} = this.dependencies;
    if (this.socket.readyState !== this.socket.OPEN) return false;
    if (this.socket.bufferedAmount > options.queue_bytes) {
      this.queueFullSince ??= clock.monotonicMilliseconds();
      this.countDropped('queue_full');
      return false;
    }
    this.queueFullSince = undefined;
    this.lastUsedAt = clock.monotonicMilliseconds();
    metrics.increment(MetricName.PeerMessages, {direction: 'out'});
    this.socket.send(this.handshake.outgoing.prependTag(encodeFrame(frame)));
    return true;
  }

  /**
   * Sends pings, and closes a link that went silent or whose queue stays full. Both ends do
   * this independently: a connection that a device between them has dropped still looks open
   * at both ends.
   */
  private async monitorConnection(done: AbortSignal): Promise<void> {
    const {clock, options} = this.dependencies;
    while (!done.aborted) {
      if (this.socket.readyState === this.socket.OPEN) this.socket.ping();
      await sleep(clock, options.ping_milliseconds, done);
      const now = clock.monotonicMilliseconds();
      if (now - this.lastReceivedAt > options.silent_milliseconds)
        this.close(PeerDisconnectReason.Silent);
      if (this.socket.bufferedAmount <= options.queue_bytes)
        this.queueFullSince = undefined;
      if (now - (this.queueFullSince ?? now) > options.slow_milliseconds)
        this.close(PeerDisconnectReason.Slow);
    }
  }

  private countDropped(reason: string): void {
    this.dependencies.metrics.increment(MetricName.PeerMessagesDropped, {
      reason,
    });
  }
}

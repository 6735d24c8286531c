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

/** Messages of one peer handled at one time; more are refused, so that one peer cannot fill the daemon. */
const MAXIMUM_HANDLERS_IN_FLIGHT = 32;
/** Requests to one peer that may wait for their answers. */
const MAXIMUM_PENDING_REQUESTS = 1000;

/** What a link needs besides its connection. */
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
  /** Monotonic milliseconds of the last message either way; for closing idle extra links. */
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
    /** Which side this daemon is. */
    readonly side: LinkSide,
    private readonly dependencies: LinkDependencies,
  ) {
    this.peer = handshake.peer;
    this.lastReceivedAt = dependencies.clock.monotonicMilliseconds();
    this.lastUsedAt = this.lastReceivedAt;
    const heard = () =>
      (this.lastReceivedAt = dependencies.clock.monotonicMilliseconds());
    socket.on('ping', heard);
    socket.on('pong', heard);
    socket.on('message', heard);
  }

  /** Handles frames until the link ends; resolves with the reason. */
  async run(): Promise<PeerDisconnectReason> {
    const done = new AbortController();
    const watching = this.monitorConnection(done.signal);
    try {
      for (;;) {
        const sealed = await this.inbox.next();
        if (!sealed) return this.closeReason ?? PeerDisconnectReason.Closed;
        this.receiveFrame(sealed);
      }
    } catch (error) {
      return error instanceof PeerDisconnectError
        ? error.reason
        : PeerDisconnectReason.Malformed;
    } finally {
      done.abort();
      await watching;
      this.close(PeerDisconnectReason.Closed);
    }
  }

  /** Cuts the link; the first reason stays. */
  close(reason: PeerDisconnectReason): void {
    this.closeReason ??= reason;
    this.retirementTimer?.cancel();
    this.socket.terminate();
    for (const {reject} of this.pendingRequests.values())
      reject(new Error(`the link to ${this.peer.name} ended`));
    this.pendingRequests.clear();
  }

  /**
   * Gives way to another link to the same peer. Requests under way on either side get the
   * time of a handshake to end: cut at once, each meeting of two dials would fail some.
   */
  retire(): void {
    const {clock, options} = this.dependencies;
    this.retirementTimer = clock.schedule(options.handshake_milliseconds, () =>
      this.close(PeerDisconnectReason.Duplicate),
    );
  }

  /** Sends without an answer; false when the message was dropped. */
  send(topic: PeerTopic, body: unknown): boolean {
    return this.sendFrame({kind: FrameKind.Message, topic, body});
  }

  /** Sends and waits for the answer. */
  async request(
    topic: PeerTopic,
    body: unknown,
    timeoutMilliseconds: number,
  ): Promise<unknown> {
    if (this.pendingRequests.size >= MAXIMUM_PENDING_REQUESTS)
      throw new Error(`too many requests wait for ${this.peer.name}`);
    const id = this.nextRequestId++;
    const answered = new Promise<unknown>((resolve, reject) =>
      this.pendingRequests.set(id, {resolve, reject}),
    );
    const timer = this.dependencies.clock.schedule(timeoutMilliseconds, () =>
      this.pendingRequests
        .get(id)
        ?.reject(new Error(`${this.peer.name} did not answer in time`)),
    );
    if (!this.sendFrame({kind: FrameKind.Request, topic, id, body}))
      this.pendingRequests
        .get(id)
        ?.reject(new Error(`the queue to ${this.peer.name} is full`));
    try {
      return await answered;
    } finally {
      timer.cancel();
      this.pendingRequests.delete(id);
    }
  }

  private receiveFrame(sealed: Uint8Array): void {
    const bytes = this.handshake.incoming.verifyAndStripTag(sealed);
    if (!bytes)
      throw new PeerDisconnectError(
        PeerDisconnectReason.Malformed,
        'wrong seal',
      );
    const {clock, metrics} = this.dependencies;
    this.lastUsedAt = clock.monotonicMilliseconds();
    metrics.increment(MetricName.PeerMessages, {direction: 'in'});
    const frame = decodeFrame(bytes);
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
   * Pings, and cuts a link that went silent or stays full. Both ends do this for themselves:
   * a connection that something between them has forgotten looks open at both ends.
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

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
import {PeerEnd, PeerEndError} from './peer-end.js';
import {
  FrameKind,
  decodeFrame,
  encodeFrame,
  type Frame,
} from './peer-frames.js';
import type {LinkTerms} from './peer-handshake.js';
import type {LinkSide} from './peer-seal.js';
import type {PeersOptions} from './peers-options.js';

/** Messages of one peer handled at one time; more are refused, so that one peer cannot fill the daemon. */
const MOST_HANDLED = 32;
/** Requests to one peer that may wait for their answers. */
const MOST_REQUESTS = 1000;

/** What a link needs besides its connection. */
export interface LinkDependencies {
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly options: PeersOptions;
  readonly handlers: ReadonlyMap<PeerTopic, PeerHandler>;
}

interface WaitingRequest {
  readonly resolve: (body: unknown) => void;
  readonly reject: (error: Error) => void;
}

/** A link to one peer, after the handshake. */
export class PeerLink {
  readonly peer: Peer;
  /** Monotonic milliseconds of the last message either way; for closing idle extra links. */
  lastUsedAt: number;
  private lastHeardAt: number;
  private fullSince: number | undefined;
  private handled = 0;
  private nextRequest = 0;
  private readonly requests = new Map<number, WaitingRequest>();
  private end: PeerEnd | undefined;
  private retirement: Timer | undefined;

  constructor(
    private readonly socket: WebSocket,
    private readonly inbox: FrameInbox,
    private readonly terms: LinkTerms,
    /** Which side this daemon is. */
    readonly side: LinkSide,
    private readonly dependencies: LinkDependencies,
  ) {
    this.peer = terms.peer;
    this.lastHeardAt = dependencies.clock.monotonicMilliseconds();
    this.lastUsedAt = this.lastHeardAt;
    const heard = () =>
      (this.lastHeardAt = dependencies.clock.monotonicMilliseconds());
    socket.on('ping', heard);
    socket.on('pong', heard);
    socket.on('message', heard);
  }

  /** Handles frames until the link ends; resolves with the reason. */
  async run(): Promise<PeerEnd> {
    const done = new AbortController();
    const watching = this.watch(done.signal);
    try {
      for (;;) {
        const sealed = await this.inbox.next();
        if (!sealed) return this.end ?? PeerEnd.Closed;
        this.take(sealed);
      }
    } catch (error) {
      return error instanceof PeerEndError ? error.end : PeerEnd.Malformed;
    } finally {
      done.abort();
      await watching;
      this.close(PeerEnd.Closed);
    }
  }

  /** Cuts the link; the first reason stays. */
  close(reason: PeerEnd): void {
    this.end ??= reason;
    this.retirement?.cancel();
    this.socket.terminate();
    for (const {reject} of this.requests.values())
      reject(new Error(`the link to ${this.peer.name} ended`));
    this.requests.clear();
  }

  /**
   * Gives way to another link to the same peer. Requests under way on either side get the
   * time of a handshake to end: cut at once, each meeting of two dials would fail some.
   */
  retire(): void {
    const {clock, options} = this.dependencies;
    this.retirement = clock.schedule(options.handshake_milliseconds, () =>
      this.close(PeerEnd.Doubled),
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
    if (this.requests.size >= MOST_REQUESTS)
      throw new Error(`too many requests wait for ${this.peer.name}`);
    const id = this.nextRequest++;
    const answered = new Promise<unknown>((resolve, reject) =>
      this.requests.set(id, {resolve, reject}),
    );
    const timer = this.dependencies.clock.schedule(timeoutMilliseconds, () =>
      this.requests
        .get(id)
        ?.reject(new Error(`${this.peer.name} did not answer in time`)),
    );
    if (!this.sendFrame({kind: FrameKind.Request, topic, id, body}))
      this.requests
        .get(id)
        ?.reject(new Error(`the queue to ${this.peer.name} is full`));
    try {
      return await answered;
    } finally {
      timer.cancel();
      this.requests.delete(id);
    }
  }

  private take(sealed: Uint8Array): void {
    const bytes = this.terms.incoming.open(sealed);
    if (!bytes) throw new PeerEndError(PeerEnd.Malformed, 'wrong seal');
    const {clock, metrics} = this.dependencies;
    this.lastUsedAt = clock.monotonicMilliseconds();
    metrics.increment(MetricName.PeerMessages, {direction: 'in'});
    const frame = decodeFrame(bytes);
    if (frame.kind === FrameKind.Answer)
      this.requests.get(frame.id)?.resolve(frame.body);
    else if (frame.kind === FrameKind.Failure)
      this.requests.get(frame.id)?.reject(new Error(frame.error));
    else void this.handle(frame);
  }

  private async handle(
    frame: Extract<Frame, {kind: FrameKind.Message | FrameKind.Request}>,
  ): Promise<void> {
    const reply = (answer: Frame) => {
      if (frame.kind === FrameKind.Request) this.sendFrame(answer);
    };
    const id = frame.kind === FrameKind.Request ? frame.id : 0;
    if (this.handled >= MOST_HANDLED) {
      this.countDropped('busy');
      reply({kind: FrameKind.Failure, id, error: 'busy'});
      return;
    }
    this.handled++;
    try {
      const handler = this.dependencies.handlers.get(frame.topic);
      if (!handler) throw new Error(`no handler for ${frame.topic}`);
      const body = await handler(this.peer, frame.body);
      reply({kind: FrameKind.Answer, id, body});
    } catch (error) {
      reply({kind: FrameKind.Failure, id, error: toError(error).message});
    } finally {
      this.handled--;
    }
  }

  private sendFrame(frame: Frame): boolean {
    const {clock, metrics, options} = this.dependencies;
    if (this.socket.readyState !== this.socket.OPEN) return false;
    if (this.socket.bufferedAmount > options.queue_bytes) {
      this.fullSince ??= clock.monotonicMilliseconds();
      this.countDropped('queue_full');
      return false;
    }
    this.fullSince = undefined;
    this.lastUsedAt = clock.monotonicMilliseconds();
    metrics.increment(MetricName.PeerMessages, {direction: 'out'});
    this.socket.send(this.terms.outgoing.seal(encodeFrame(frame)));
    return true;
  }

  /**
   * Pings, and cuts a link that went silent or stays full. Both ends do this for themselves:
   * a connection that something between them has forgotten looks open at both ends.
   */
  private async watch(done: AbortSignal): Promise<void> {
    const {clock, options} = this.dependencies;
    while (!done.aborted) {
      if (this.socket.readyState === this.socket.OPEN) this.socket.ping();
      await sleep(clock, options.ping_milliseconds, done);
      const now = clock.monotonicMilliseconds();
      if (now - this.lastHeardAt > options.silent_milliseconds)
        this.close(PeerEnd.Silent);
      if (this.socket.bufferedAmount <= options.queue_bytes)
        this.fullSince = undefined;
      if (now - (this.fullSince ?? now) > options.slow_milliseconds)
        this.close(PeerEnd.Slow);
    }
  }

  private countDropped(reason: string): void {
    this.dependencies.metrics.increment(MetricName.PeerMessagesDropped, {
      reason,
    });
  }
}

import type {IncomingMessage} from 'node:http';
import {
  ErrorKind,
  RequestError,
  type Clock,
  type OutgoingBody,
} from '@gentiandoor/kernel';

/** Bounds of a request's body. */
export interface BodyLimits {
  /** Up to this size the body is read whole. */
  readonly maximumBufferedBytes: number;
  /** Largest body taken. */
  readonly maximumBytes: number;
  /** Longest silence. */
  readonly progressTimeoutMilliseconds: number;
}

interface PendingRead {
  resolve(chunk: Buffer | undefined): void;
  reject(error: RequestError): void;
}

/**
 * Reads a request's body at the pace of its sender, within limits.
 *
 * A sender that stops half-way would otherwise hold a target's slot for as long as it
 * likes: short bodies are read whole before a target is chosen, and a silence ends both kinds.
 */
export class BodyReader {
  private pendingRead: PendingRead | undefined;
  private failure: RequestError | undefined;
  private receivedBytes = 0;

  constructor(
    private readonly request: IncomingMessage,
    private readonly limits: BodyLimits,
    private readonly clock: Clock,
  ) {
    request.on('readable', () => this.resolvePendingRead());
    request.on('end', () => this.resolvePendingRead());
    request.on('error', () => this.fail(callerGoneError()));
    request.on('close', () => {
      if (!request.complete) this.fail(callerGoneError());
    });
  }

  /** The body, whole where it is short; null when empty. */
  async read(): Promise<OutgoingBody> {
    const chunks: Buffer[] = [];
    while (this.receivedBytes <= this.limits.maximumBufferedBytes) {
      const chunk = await this.nextChunk();
      if (chunk === undefined) return concatenate(chunks);
      chunks.push(chunk);
    }
    return this.stream(chunks);
  }

  /** Ends the reading; what waits for a chunk is rejected. */
  fail(error: RequestError): void {
    this.failure ??= error;
    const {pendingRead: waiter} = this;
    this.pendingRead = undefined;
    waiter?.reject(this.failure);
  }

  private async *stream(first: readonly Buffer[]): AsyncGenerator<Buffer> {
    yield* first;
    for (;;) {
      const chunk = await this.nextChunk();
      if (chunk === undefined) return;
      yield chunk;
    }
  }

  /** The next chunk, or undefined at the end; rejects with `RequestError`. */
  private async nextChunk(): Promise<Buffer | undefined> {
    const {
      progressTimeoutMilliseconds: progressMilliseconds,
      maximumBytes: totalBytes,
    } = this.limits;
    const timer = this.clock.schedule(progressMilliseconds, () =>
      this.fail(
        new RequestError(
          ErrorKind.BodyTimeout,
          `${this.receivedBytes} bytes came, then nothing for ${progressMilliseconds} ms`,
        ),
      ),
    );
    try {
      const chunk = await this.nextChunkUntimed();
      this.receivedBytes += chunk?.length ?? 0;
      if (this.receivedBytes <= totalBytes) return chunk;
    } finally {
      timer.cancel();
    }
    this.failure ??= new RequestError(
      ErrorKind.BodyTooLarge,
      `more than ${totalBytes} bytes`,
    );
    throw this.failure;
  }

  private nextChunkUntimed(): Promise<Buffer | undefined> {
    return new Promise((resolve, reject) => {
      this.pendingRead = {resolve, reject};
      this.resolvePendingRead();
    });
  }

  private resolvePendingRead(): void {
    const {pendingRead: waiter} = this;
    if (!waiter) return;
    if (this.failure) {
      this.fail(this.failure);
      return;
    }
    const chunk = this.request.read() as Buffer | null;
    if (chunk === null && !this.request.readableEnded) return;
    this.pendingRead = undefined;
    waiter.resolve(chunk ?? undefined);
  }
}

function concatenate(chunks: readonly Buffer[]): Buffer | null {
  if (chunks.length === 0) return null;
  return chunks.length === 1 ? chunks[0] : Buffer.concat(chunks);
}

function callerGoneError(): RequestError {
  return new RequestError(
    ErrorKind.CallerGone,
    'the connection closed within the request',
  );
}

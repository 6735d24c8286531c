import type {IncomingMessage} from 'node:http';
import {
  ErrorKind,
  RequestError,
  type Clock,
  type OutgoingBody,
} from '@gentiandoor/kernel';

/** Limits for reading a request body. */
export interface BodyLimits {
  /** Bodies up to this size are buffered whole; longer ones are streamed. */
  readonly maximumBufferedBytes: number;
  /** Maximum body size; a longer body fails with `BodyTooLarge`. */
  readonly maximumBytes: number;
  /** Maximum time without any data; then reading fails with `BodyTimeout`. */
  readonly progressTimeoutMilliseconds: number;
}

interface PendingRead {
  resolve(chunk: Buffer | undefined): void;
  reject(error: RequestError): void;
}

/**
 * Reads a request body at the pace of its sender, within limits.
 *
 * A sender that stops halfway would otherwise hold a target's slot indefinitely: short bodies are
 * buffered before a target is chosen, and the progress timeout ends buffered and streamed reads.
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

  /** Returns the body: buffered when it is short, a stream when it is longer, null when empty. */
  async read(): Promise<OutgoingBody> {
    const chunks: Buffer[] = [];
    while (this.receivedBytes <= this.limits.maximumBufferedBytes) {
      const chunk = await this.nextChunk();
      if (chunk === undefined) return concatenate(chunks);
      chunks.push(chunk);
    }
    return this.stream(chunks);
  }

  /** Ends reading and rejects a pending read. The first error given is kept. */
  fail(error: RequestError): void {
    this.failure ??= error;
    const {pendingRead} = this;
    this.pendingRead = undefined;
    pendingRead?.reject(this.failure);
  }

  private async *stream(
    bufferedChunks: readonly Buffer[],
  ): AsyncGenerator<Buffer> {
    yield* bufferedChunks;
    for (;;) {
      const chunk = await this.nextChunk();
      if (chunk === undefined) return;
      yield chunk;
    }
  }

  /** Returns the next chunk, or undefined at the end; rejects with `RequestError`. */
  private async nextChunk(): Promise<Buffer | undefined> {
    const {progressTimeoutMilliseconds, maximumBytes} = this.limits;
    const timer = this.clock.schedule(progressTimeoutMilliseconds, () =>
      this.fail(
        new RequestError(
          ErrorKind.BodyTimeout,
          `received ${this.receivedBytes} bytes of the request body, then nothing for ${progressTimeoutMilliseconds} ms`,
        ),
      ),
    );
    try {
      const chunk = await this.nextChunkUntimed();
      this.receivedBytes += chunk?.length ?? 0;
      if (this.receivedBytes <= maximumBytes) return chunk;
    } finally {
      timer.cancel();
    }
    this.failure ??= new RequestError(
      ErrorKind.BodyTooLarge,
      `the request body is longer than ${maximumBytes} bytes`,
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
    const {pendingRead} = this;
    if (!pendingRead) return;
    if (this.failure) {
      this.fail(this.failure);
      return;
    }
    const chunk = this.request.read() as Buffer | null;
    if (chunk === null && !this.request.readableEnded) return;
    this.pendingRead = undefined;
    pendingRead.resolve(chunk ?? undefined);
  }
}

function concatenate(chunks: readonly Buffer[]): Buffer | null {
  if (chunks.length === 0) return null;
  return chunks.length === 1 ? chunks[0] : Buffer.concat(chunks);
}

function callerGoneError(): RequestError {
  return new RequestError(
    ErrorKind.CallerGone,
    'the connection closed before the whole request was received',
  );
}

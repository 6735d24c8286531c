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
  readonly bufferedBytes: number;
  /** Largest body taken. */
  readonly totalBytes: number;
  /** Longest silence. */
  readonly progressMilliseconds: number;
}

interface Waiter {
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
  private waiter: Waiter | undefined;
  private failure: RequestError | undefined;
  private seenBytes = 0;

  constructor(
    private readonly request: IncomingMessage,
    private readonly limits: BodyLimits,
    private readonly clock: Clock,
  ) {
    request.on('readable', () => this.serve());
    request.on('end', () => this.serve());
    request.on('error', () => this.fail(callerGone()));
    request.on('close', () => {
      if (!request.complete) this.fail(callerGone());
    });
  }

  /** The body, whole where it is short; null when empty. */
  async read(): Promise<OutgoingBody> {
    const chunks: Buffer[] = [];
    while (this.seenBytes <= this.limits.bufferedBytes) {
      const chunk = await this.next();
      if (chunk === undefined) return joined(chunks);
      chunks.push(chunk);
    }
    return this.stream(chunks);
  }

  /** Ends the reading; what waits for a chunk is rejected. */
  fail(error: RequestError): void {
    this.failure ??= error;
    const {waiter} = this;
    this.waiter = undefined;
    waiter?.reject(this.failure);
  }

  private async *stream(first: readonly Buffer[]): AsyncGenerator<Buffer> {
    yield* first;
    for (;;) {
      const chunk = await this.next();
      if (chunk === undefined) return;
      yield chunk;
    }
  }

  /** The next chunk, or undefined at the end; rejects with `RequestError`. */
  private async next(): Promise<Buffer | undefined> {
    const {progressMilliseconds, totalBytes} = this.limits;
    const timer = this.clock.schedule(progressMilliseconds, () =>
      this.fail(
        new RequestError(
          ErrorKind.BodyTimeout,
          `${this.seenBytes} bytes came, then nothing for ${progressMilliseconds} ms`,
        ),
      ),
    );
    try {
      const chunk = await this.nextUntimed();
      this.seenBytes += chunk?.length ?? 0;
      if (this.seenBytes <= totalBytes) return chunk;
    } finally {
      timer.cancel();
    }
    this.failure ??= new RequestError(
      ErrorKind.BodyTooLarge,
      `more than ${totalBytes} bytes`,
    );
    throw this.failure;
  }

  private nextUntimed(): Promise<Buffer | undefined> {
    return new Promise((resolve, reject) => {
      this.waiter = {resolve, reject};
      this.serve();
    });
  }

  private serve(): void {
    const {waiter} = this;
    if (!waiter) return;
    if (this.failure) {
      this.fail(this.failure);
      return;
    }
    const chunk = this.request.read() as Buffer | null;
    if (chunk === null && !this.request.readableEnded) return;
    this.waiter = undefined;
    waiter.resolve(chunk ?? undefined);
  }
}

function joined(chunks: readonly Buffer[]): Buffer | null {
  if (chunks.length === 0) return null;
  return chunks.length === 1 ? chunks[0] : Buffer.concat(chunks);
}

function callerGone(): RequestError {
  return new RequestError(
    ErrorKind.CallerGone,
    'the connection closed within the request',
  );
}

import type {IncomingMessage} from 'node:http';

const STATUS_BAD_REQUEST = 400;
const STATUS_CONTENT_TOO_LARGE = 413;

/** A request body that is rejected before it reaches a handler. */
export class BodyRefusedError extends Error {
  constructor(
    /** HTTP status code. */
    readonly status: number,
    message: string,
  ) {
    super(message);
  }
}

/**
 * Reads a body of up to `limit` bytes as JSON; throws `BodyRefusedError`. Without the limit, one
 * call with the operators' key could fill the daemon's memory and cut off the callers.
 */
export async function readJsonBody(
  request: IncomingMessage,
  limit: number,
): Promise<unknown> {
  const chunks: Buffer[] = [];
  let length = 0;
  // `for await` would destroy the connection on an error, so that no response could be sent.
  const ended = new Promise<void>((resolve, reject) => {
    request.on('data', (chunk: Buffer) => {
      length += chunk.length;
      if (length <= limit) chunks.push(chunk);
      else reject(bodyTooLargeError(limit));
    });
    request.once('end', resolve);
    request.once('close', () =>
      reject(
        new BodyRefusedError(
          STATUS_BAD_REQUEST,
          'the connection closed before the whole body arrived',
        ),
      ),
    );
  });
  await ended;
  try {
    return JSON.parse(Buffer.concat(chunks).toString('utf8')) as unknown;
  } catch {
    throw new BodyRefusedError(STATUS_BAD_REQUEST, 'expected a JSON body');
  }
}

function bodyTooLargeError(limit: number): BodyRefusedError {
  return new BodyRefusedError(
    STATUS_CONTENT_TOO_LARGE,
    `expected a body of up to ${limit} bytes; the setting is [admin] body_bytes`,
  );
}

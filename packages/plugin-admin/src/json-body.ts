import type {IncomingMessage} from 'node:http';

const STATUS_BAD_REQUEST = 400;
const STATUS_CONTENT_TOO_LARGE = 413;

/** A body that no handler gets to see. */
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
 * Reads a body of up to `limit` bytes as JSON; throws `BodyRefused`. Without the limit one
 * call with the operators' key would fill the daemon's memory, and callers would be cut.
 */
export async function readJsonBody(
  request: IncomingMessage,
  limit: number,
): Promise<unknown> {
  const chunks: Buffer[] = [];
  let length = 0;
  // Not `for await`: it would destroy the connection, and the answer with it.
  const ended = new Promise<void>((resolve, reject) => {
    request.on('data', (chunk: Buffer) => {
      length += chunk.length;
      if (length <= limit) chunks.push(chunk);
      else reject(bodyTooLargeError(limit));
    });
    request.once('end', resolve);
    request.once('close', () =>
      reject(new BodyRefusedError(STATUS_BAD_REQUEST, 'the body was cut')),
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

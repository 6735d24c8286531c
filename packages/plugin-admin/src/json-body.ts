import type {IncomingMessage} from 'node:http';

const STATUS_BAD_INPUT = 400;
const STATUS_TOO_LARGE = 413;

/** A body that no handler gets to see. */
export class BodyRefused extends Error {
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
      else reject(tooLarge(limit));
    });
    request.once('end', resolve);
    request.once('close', () =>
      reject(new BodyRefused(STATUS_BAD_INPUT, 'the body was cut')),
    );
  });
  await ended;
  try {
    return JSON.parse(Buffer.concat(chunks).toString('utf8')) as unknown;
  } catch {
    throw new BodyRefused(STATUS_BAD_INPUT, 'expected a JSON body');
  }
}

function tooLarge(limit: number): BodyRefused {
  return new BodyRefused(
    STATUS_TOO_LARGE,
    `expected a body of up to ${limit} bytes; the setting is [admin] body_bytes`,
  );
}

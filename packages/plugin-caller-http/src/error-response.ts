import type {ServerResponse} from 'node:http';
import {
  ERROR_RESPONSES,
  ErrorKind,
  RequestError,
  RequestExecution,
  toError,
} from '@gentiandoor/kernel';

/** Header that tells the caller whether the request was run: no, unknown or yes. */
export const RUN_HEADER = 'gentiandoor-run';
/** Header that gives the error kind. */
export const REASON_HEADER = 'gentiandoor-reason';

/** Makes a `RequestError` of whatever was thrown. */
export function toRequestError(thrown: unknown): RequestError {
  if (thrown instanceof RequestError) return thrown;
  const error = toError(thrown);
  return new RequestError(ErrorKind.Internal, error.stack ?? error.message, {
    cause: error,
  });
}

/** Headers and body of the answer to an error, the headers as names and values in turn. */
export function errorResponse(error: RequestError): {
  readonly status: number;
  readonly headers: string[];
  readonly body: Buffer;
} {
  const {status, advice} = ERROR_RESPONSES[error.kind];
  const detail = error.kind === ErrorKind.Internal ? undefined : error.message;
  const body = Buffer.from(
    JSON.stringify({error: error.kind, run: error.run, advice, detail}),
  );
  const headers = [
    'content-type',
    'application/json',
    'content-length',
    String(body.length),
    RUN_HEADER,
    error.run,
    REASON_HEADER,
    error.kind,
  ];
  if (
    error.run !== RequestExecution.Run &&
    error.retryAfterSeconds !== undefined
  )
    headers.push('retry-after', String(error.retryAfterSeconds));
  return {status, headers, body};
}

/**
 * Ends an answer of which a part is out, so that the caller can tell that it is not whole.
 *
 * A missing last chunk or a length not reached tells it by itself. An answer to HTTP/1.0 may
 * have neither: its end is the end of the connection, and a clean one would make half an answer
 * look whole. A reset does not. It is kept to that case, since it also throws away bytes
 * of earlier answers that are still on their way.
 */
export function abortResponse(response: ServerResponse): void {
  if (response.req.httpVersion === '1.0') response.socket?.resetAndDestroy();
  response.destroy();
}

/** Answers an error, or cuts an answer that has begun. */
export function sendErrorResponse(
  response: ServerResponse,
  error: RequestError,
  close: boolean,
): void {
  if (response.headersSent) {
    abortResponse(response);
    return;
  }
  const {status, headers, body} = errorResponse(error);
  if (close) headers.push('connection', 'close');
  response.writeHead(status, headers);
  response.end(body);
}

/** The same as bytes, for a connection that has no response object. */
export function rawErrorResponse(error: RequestError): Buffer {
  const {status, headers, body} = errorResponse(error);
  const lines = [`HTTP/1.1 ${status} ${error.kind}`];
  for (let index = 0; index < headers.length; index += 2)
    lines.push(`${headers[index]}: ${headers[index + 1]}`);
  lines.push('connection: close', '', '');
  return Buffer.concat([Buffer.from(lines.join('\r\n')), body]);
}

import type {ServerResponse} from 'node:http';
import {
  ERROR_RESPONSES,
  ErrorKind,
  RequestError,
  RequestExecution,
  toError,
} from '@gentiandoor/kernel';

/** Response header that tells the caller whether the request was run: no, unknown or yes. */
export const RUN_HEADER = 'gentiandoor-run';
/** Response header with the error kind. */
export const REASON_HEADER = 'gentiandoor-reason';

/** Converts any thrown value to a `RequestError`, of kind `Internal` unless it is one already. */
export function toRequestError(thrown: unknown): RequestError {
  if (thrown instanceof RequestError) return thrown;
  const error = toError(thrown);
  return new RequestError(ErrorKind.Internal, error.stack ?? error.message, {
    cause: error,
  });
}

/** Returns the response to an error; its headers are alternating names and values. */
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
 * Ends a partly sent response so that the caller can tell that it is incomplete.
 *
 * A missing last chunk or an incomplete length shows this by itself. A response to HTTP/1.0 may
 * have neither: it ends with its connection, and a clean close would make half a response look
 * complete. A reset does not. It is used only in that case, since it also discards bytes of
 * earlier responses that are still in transit.
 */
export function abortResponse(response: ServerResponse): void {
  if (response.req.httpVersion === '1.0') response.socket?.resetAndDestroy();
  response.destroy();
}

/** Sends an error response, or aborts a response that has already started. */
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

/** Returns an error response as bytes, for a connection that has no response object. */
export function rawErrorResponse(error: RequestError): Buffer {
  const {status, headers, body} = errorResponse(error);
  const lines = [`HTTP/1.1 ${status} ${error.kind}`];
  for (let index = 0; index < headers.length; index += 2)
    lines.push(`${headers[index]}: ${headers[index + 1]}`);
  lines.push('connection: close', '', '');
  return Buffer.concat([Buffer.from(lines.join('\r\n')), body]);
}

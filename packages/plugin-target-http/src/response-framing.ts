import {errors} from 'undici';

const NO_CONTENT = 204;
const NOT_MODIFIED = 304;

/**
 * Returns why a complete response could not be distinguished from a truncated one, or undefined
 * when it can be.
 *
 * A response with neither a length nor chunks ends with its connection. A target that crashes
 * halfway closes the connection as well, and the caller would take half a response for a complete
 * one. Such a response is rejected, since nothing can prove it complete.
 */
export function framingProblem(
  method: string,
  status: number,
  headers: readonly string[],
): string | undefined {
  if (method === 'HEAD' || status === NO_CONTENT || status === NOT_MODIFIED) {
    return undefined;
  }
  for (let index = 0; index + 1 < headers.length; index += 2) {
    if (delimitsBody(headers[index], headers[index + 1])) return undefined;
  }
  return 'the response has neither a content-length nor chunks, so its end is unknown';
}

function delimitsBody(name: string, value: string): boolean {
  if (name.length === CONTENT_LENGTH.length)
    return name.toLowerCase() === CONTENT_LENGTH;
  if (name.length !== TRANSFER_ENCODING.length) return false;
  return name.toLowerCase() === TRANSFER_ENCODING && /chunked\s*$/i.test(value);
}

/** Returns whether the response head says that the connection closes. */
export function announcesClose(headers: readonly string[]): boolean {
  for (let index = 0; index + 1 < headers.length; index += 2) {
    const name = headers[index];
    if (name.length !== CONNECTION.length) continue;
    if (name.toLowerCase() !== CONNECTION) continue;
    if (/(^|,)\s*close\s*(,|$)/i.test(headers[index + 1])) return true;
  }
  return false;
}

const CONNECTION = 'connection';
const CONTENT_LENGTH = 'content-length';
const TRANSFER_ENCODING = 'transfer-encoding';

/** Returns whether the HTTP library ended an exchange because of what the target sent. */
export function isMalformed(error: Error): boolean {
  return (
    error instanceof errors.HTTPParserError ||
    error instanceof errors.ResponseContentLengthMismatchError ||
    error instanceof errors.HeadersOverflowError
  );
}

import {errors} from 'undici';

const NO_CONTENT = 204;
const NOT_MODIFIED = 304;

/**
 * Says why the end of an answer could not be told from its breaking off; undefined when it can.
 *
 * An answer without a length and without chunks ends with its connection. A target that
 * dies in the middle closes the connection as well, and the caller would take half an
 * answer for a whole one. Such an answer is refused, since nothing can prove it whole.
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
  return 'the answer has neither a length nor chunks, so its end cannot be told';
}

function delimitsBody(name: string, value: string): boolean {
  if (name.length === CONTENT_LENGTH.length)
    return name.toLowerCase() === CONTENT_LENGTH;
  if (name.length !== TRANSFER_ENCODING.length) return false;
  return name.toLowerCase() === TRANSFER_ENCODING && /chunked\s*$/i.test(value);
}

/** Whether the answer's head says that its connection closes. */
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

/** Whether the library ended an exchange because of what the target sent. */
export function isMalformed(error: Error): boolean {
  return (
    error instanceof errors.HTTPParserError ||
    error instanceof errors.ResponseContentLengthMismatchError ||
    error instanceof errors.HeadersOverflowError
  );
}

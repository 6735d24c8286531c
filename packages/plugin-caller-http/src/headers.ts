/** Prefix of this system's own headers: a caller or target cannot set them for the other side. */
const RESERVED_PREFIX = 'gentiandoor-';

const HOP_BY_HOP_HEADERS = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'expect',
]);

/** Headers that would change how a message is interpreted if they came after it. */
const FORBIDDEN_TRAILERS = new Set([
  'content-length',
  'content-encoding',
  'content-type',
  'host',
  'set-cookie',
]);

/** Value of this proxy in the `Via` header. */
const VIA_VALUE = '1.1 gentiandoor';

/** How a header is handled, determined by its name alone. */
enum HeaderRule {
  Keep,
  Drop,
  /** `Connection`: dropped together with the headers it names. */
  Connection,
}

/** Limit of the cache of names: callers choose them. */
const MAXIMUM_CACHED_RULES = 1000;
const ruleByName = new Map<string, HeaderRule>();

/**
 * Removes hop-by-hop headers, including those named in `Connection`, and all of this system's own.
 * `raw` holds alternating names and values.
 */
export function endToEndHeaders(raw: readonly string[]): string[] {
  const kept: string[] = [];
  let named: string[] | undefined;
  for (let index = 0; index + 1 < raw.length; index += 2) {
    const rule = ruleOf(raw[index]);
    if (rule === HeaderRule.Keep) kept.push(raw[index], raw[index + 1]);
    else if (rule === HeaderRule.Connection)
      named = [...(named ?? []), ...connectionOptions(raw[index + 1])];
  }
  return named && named.length > 0 ? withoutHeaders(kept, named) : kept;
}

/** Returns the rule for a name, cached as it was written: the same few names recur all the time. */
function ruleOf(rawName: string): HeaderRule {
  const cached = ruleByName.get(rawName);
  if (cached !== undefined) return cached;
  const name = rawName.toLowerCase();
  let rule = HeaderRule.Keep;
  if (name === 'connection') rule = HeaderRule.Connection;
  else if (HOP_BY_HOP_HEADERS.has(name) || name.startsWith(RESERVED_PREFIX))
    rule = HeaderRule.Drop;
  if (ruleByName.size < MAXIMUM_CACHED_RULES) ruleByName.set(rawName, rule);
  return rule;
}

/** Returns the names in a `Connection` header that are not ignored. */
function connectionOptions(connection: string): string[] {
  return connection
    .split(',')
    .map(token => token.trim().toLowerCase())
    .filter(token => !IGNORED_CONNECTION_OPTIONS.has(token));
}

function withoutHeaders(headers: readonly string[], names: string[]): string[] {
  const kept: string[] = [];
  for (let index = 0; index < headers.length; index += 2) {
    if (names.includes(headers[index].toLowerCase())) continue;
    kept.push(headers[index], headers[index + 1]);
  }
  return kept;
}

/** Returns the trailers that may be forwarded, as pairs of name and value. */
export function endToEndTrailers(raw: readonly string[]): [string, string][] {
  const kept = endToEndHeaders(raw);
  const pairs: [string, string][] = [];
  for (let index = 0; index + 1 < kept.length; index += 2) {
    if (FORBIDDEN_TRAILERS.has(kept[index].toLowerCase())) continue;
    pairs.push([kept[index], kept[index + 1]]);
  }
  return pairs;
}

/** Appends `Via` and `X-Forwarded-For`, which tell a target how the request arrived. */
export function addForwardingHeaders(
  headers: string[],
  callerAddress: string | undefined,
): void {
  headers.push('via', VIA_VALUE);
  if (callerAddress !== undefined)
    headers.push('x-forwarded-for', callerAddress);
}

/** Returns the values of a header, one for each occurrence. */
export function headerValues(raw: readonly string[], name: string): string[] {
  const values: string[] = [];
  for (let index = 0; index + 1 < raw.length; index += 2) {
    const candidate = raw[index];
    if (candidate.length !== name.length) continue;
    if (candidate.toLowerCase() === name) values.push(raw[index + 1]);
  }
  return values;
}

/**
 * `Connection: content-length` would make this side drop the length that the other side reads by,
 * and both would interpret the message differently. The first three are kept whatever
 * `Connection` says; the others are dropped anyway or name no header.
 */
const IGNORED_CONNECTION_OPTIONS = new Set([
  'host',
  'content-length',
  'authorization',
  'keep-alive',
  'close',
  'upgrade',
  '',
]);

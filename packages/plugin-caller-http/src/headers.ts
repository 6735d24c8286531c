/** Headers of the system itself; a caller or target cannot set them for the other side. */
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

/** Headers that would change how a message is read, were they to come after it. */
const FORBIDDEN_TRAILERS = new Set([
  'content-length',
  'content-encoding',
  'content-type',
  'host',
  'set-cookie',
]);

/** Name of this proxy in `Via`. */
const VIA_VALUE = '1.1 gentiandoor';

/** What to do with a header, by its name alone. */
enum HeaderRule {
  Keep,
  Drop,
  /** `Connection`: dropped, and so is what it names. */
  Connection,
}

/** Bound of the remembered names, which callers choose. */
const MAXIMUM_CACHED_RULES = 1000;
const ruleByName = new Map<string, HeaderRule>();

/**
 * Takes out the headers that belong to one connection, those named in `Connection` included,
 * and all of the system's own. `raw` holds names and values in turn.
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

/** The rule of a name as it was written, remembered: the same few names come all the time. */
function ruleOf(rawName: string): HeaderRule {
  const known = ruleByName.get(rawName);
  if (known !== undefined) return known;
  const name = rawName.toLowerCase();
  let rule = HeaderRule.Keep;
  if (name === 'connection') rule = HeaderRule.Connection;
  else if (HOP_BY_HOP_HEADERS.has(name) || name.startsWith(RESERVED_PREFIX))
    rule = HeaderRule.Drop;
  if (ruleByName.size < MAXIMUM_CACHED_RULES) ruleByName.set(rawName, rule);
  return rule;
}

/** Names in a `Connection` header that are not dropped already. */
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

/** Trailers that may be passed on. */
export function endToEndTrailers(raw: readonly string[]): [string, string][] {
  const kept = endToEndHeaders(raw);
  const pairs: [string, string][] = [];
  for (let index = 0; index + 1 < kept.length; index += 2) {
    if (FORBIDDEN_TRAILERS.has(kept[index].toLowerCase())) continue;
    pairs.push([kept[index], kept[index + 1]]);
  }
  return pairs;
}

/** Appends what a target may want to know about the way the request came. */
export function addForwardingHeaders(
  headers: string[],
  callerAddress: string | undefined,
): void {
  headers.push('via', VIA_VALUE);
  if (callerAddress !== undefined)
    headers.push('x-forwarded-for', callerAddress);
}

/** The values of a header, one for each time it stands. */
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
 * `Connection: content-length` would make this side drop the length that the other side
 * reads by: two readings of one message. The first three stay whatever `Connection` says;
 * the others are dropped already or name no header.
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

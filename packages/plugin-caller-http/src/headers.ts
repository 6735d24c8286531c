/** Headers of the system itself; a caller or target cannot set them for the other side. */
const OWN_PREFIX = 'gentiandoor-';

const HOP_BY_HOP = new Set([
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
const NEVER_IN_TRAILERS = new Set([
  'content-length',
  'content-encoding',
  'content-type',
  'host',
  'set-cookie',
]);

/** Name of this proxy in `Via`. */
const VIA = '1.1 gentiandoor';

/**
 * Takes out the headers that belong to one connection, those named in `Connection` included,
 * and all of the system's own. `raw` holds names and values in turn.
 */
export function endToEndHeaders(raw: readonly string[]): string[] {
  const named = namedInConnection(raw);
  const kept: string[] = [];
  for (let index = 0; index + 1 < raw.length; index += 2) {
    const name = raw[index].toLowerCase();
    if (HOP_BY_HOP.has(name) || name.startsWith(OWN_PREFIX)) continue;
    if (named?.includes(name)) continue;
    kept.push(raw[index], raw[index + 1]);
  }
  return kept;
}

/** Trailers that may be passed on. */
export function endToEndTrailers(raw: readonly string[]): [string, string][] {
  const kept = endToEndHeaders(raw);
  const pairs: [string, string][] = [];
  for (let index = 0; index + 1 < kept.length; index += 2) {
    if (NEVER_IN_TRAILERS.has(kept[index].toLowerCase())) continue;
    pairs.push([kept[index], kept[index + 1]]);
  }
  return pairs;
}

/** Appends what a target may want to know about the way the request came. */
export function addForwarding(
  headers: string[],
  callerAddress: string | undefined,
): void {
  headers.push('via', VIA);
  if (callerAddress !== undefined)
    headers.push('x-forwarded-for', callerAddress);
}

/** The values of a header, one for each time it stands. */
export function valuesOf(raw: readonly string[], name: string): string[] {
  const values: string[] = [];
  for (let index = 0; index + 1 < raw.length; index += 2) {
    const candidate = raw[index];
    if (candidate.length !== name.length) continue;
    if (candidate.toLowerCase() === name) values.push(raw[index + 1]);
  }
  return values;
}

function namedInConnection(raw: readonly string[]): string[] | undefined {
  const values = valuesOf(raw, 'connection');
  if (values.length === 0) return undefined;
  return values
    .flatMap(value => value.split(','))
    .map(token => token.trim().toLowerCase())
    .filter(token => !PROTECTED.has(token));
}

/**
 * `Connection: content-length` would make this side drop the length that the other side
 * reads by: two readings of one message. These stay whatever `Connection` says.
 */
const PROTECTED = new Set(['host', 'content-length', 'authorization']);

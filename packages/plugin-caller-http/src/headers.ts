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

/**
 * Takes out the headers that belong to one connection, those named in `Connection` included.
 * `raw` holds names and values in turn.
 */
export function stripHopByHop(raw: readonly string[]): string[] {
  const dropped = new Set(HOP_BY_HOP);
  for (const [name, value] of pairs(raw)) {
    if (name.toLowerCase() !== 'connection') continue;
    for (const token of value.split(','))
      dropped.add(token.trim().toLowerCase());
  }
  const kept: string[] = [];
  for (const [name, value] of pairs(raw)) {
    if (!dropped.has(name.toLowerCase())) kept.push(name, value);
  }
  return kept;
}

function* pairs(raw: readonly string[]): Generator<[string, string]> {
  for (let index = 0; index + 1 < raw.length; index += 2)
    yield [raw[index], raw[index + 1]];
}

/**
 * Serialises plain data independently of the order of its fields and of fields set to
 * undefined, so that a state folded record by record and one restored from a snapshot have
 * the same hash.
 */
export function canonicalText(value: unknown): string {
  if (Array.isArray(value)) return `[${value.map(canonicalText).join(',')}]`;
  if (typeof value !== 'object' || value === null) {
    return JSON.stringify(value) ?? 'null';
  }
  const fields = value as Readonly<Record<string, unknown>>;
  const parts = Object.keys(fields)
    .filter(name => fields[name] !== undefined)
    .sort()
    .map(name => `${JSON.stringify(name)}:${canonicalText(fields[name])}`);
  return `{${parts.join(',')}}`;
}

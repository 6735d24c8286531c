/** A participant that demands part of a shared resource. */
export interface NamedDemand {
  readonly name: string;
  /** Units that it demands; Infinity for as many as it can get. */
  readonly demand: number;
}

/**
 * Returns how many whole units of `total` go to `self`, whose demand is taken as unbounded, by
 * max-min fairness: small demands are met in full and the rest is divided evenly. Units left over
 * by the division go to participants in an order that depends only on `key`, so that daemons with
 * the same data assign each unit once, and not always to the same daemon.
 */
export function fairShare(
  key: string,
  total: number,
  self: string,
  others: readonly NamedDemand[],
): number {
  const sorted = [...others].sort(byDemand);
  let remaining = total;
  let index = 0;
  while (index < sorted.length) {
    const evenShare = remaining / (sorted.length - index + 1);
    if (sorted[index].demand > evenShare) break;
    remaining -= sorted[index].demand;
    index++;
  }
  const names = sorted.slice(index).map(demand => demand.name);
  const share = Math.floor(remaining / (names.length + 1));
  const leftover = remaining - share * (names.length + 1);
  return share + (rankOf(key, self, names) < leftover ? 1 : 0);
}

function byDemand(left: NamedDemand, right: NamedDemand): number {
  if (left.demand === right.demand) return 0;
  return left.demand < right.demand ? -1 : 1;
}

function rankOf(key: string, self: string, others: readonly string[]): number {
  const own = hash(key, self);
  return others.filter(name => hash(key, name) < own).length;
}

const HASH_START = 0x811c9dc5;
const HASH_FACTOR = 0x01000193;

/** FNV-1a of key and name, 32 bits. */
function hash(key: string, name: string): number {
  const text = `${key}/${name}`;
  let value = HASH_START;
  for (let index = 0; index < text.length; index++) {
    value = Math.imul(value ^ text.charCodeAt(index), HASH_FACTOR);
  }
  return (value ^ (value >>> 15)) >>> 0;
}

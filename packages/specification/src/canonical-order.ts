/**
 * Sorts items whose order has no meaning. One order for each content keeps the number of
 * states small.
 */
export function inCanonicalOrder<Item>(items: readonly Item[]): Item[] {
  return [...items].sort((left, right) =>
    JSON.stringify(left) < JSON.stringify(right) ? -1 : 1,
  );
}

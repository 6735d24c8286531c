/** Items whose order says nothing: one order for each content keeps the states few. */
export function inCanonicalOrder<Item>(items: readonly Item[]): Item[] {
  return [...items].sort((one, other) =>
    JSON.stringify(one) < JSON.stringify(other) ? -1 : 1,
  );
}

/** The items with one of them changed; states of a model are never changed in place. */
export function changeAt<Item extends object>(
  items: readonly Item[],
  index: number,
  change: Partial<Item>,
): Item[] {
  return items.map((item, place) =>
    place === index ? {...item, ...change} : item,
  );
}

/** The items with one of them changed; states of a model are never changed in place. */
export function mergeAt<Item extends object>(
  items: readonly Item[],
  index: number,
  change: Partial<Item>,
): Item[] {
  return items.map((item, place) =>
    place === index ? {...item, ...change} : item,
  );
}

/** The items with another one in place of one of them. */
export function replaceAt<Item>(
  items: readonly Item[],
  index: number,
  item: Item,
): Item[] {
  return items.map((before, place) => (place === index ? item : before));
}

/** The items with one of them made anew from what it was. */
export function updateAt<Item>(
  items: readonly Item[],
  index: number,
  update: (item: Item) => Item,
): Item[] {
  return items.map((item, place) => (place === index ? update(item) : item));
}

/** The items without one of them. */
export function removeAt<Item>(items: readonly Item[], index: number): Item[] {
  return items.filter((_, place) => place !== index);
}

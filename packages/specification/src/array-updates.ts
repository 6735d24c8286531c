/** Returns a copy with `change` merged into one item; states of a model are never mutated. */
export function mergeAt<Item extends object>(
  items: readonly Item[],
  index: number,
  change: Partial<Item>,
): Item[] {
  return items.map((item, itemIndex) =>
    itemIndex === index ? {...item, ...change} : item,
  );
}

/** Returns a copy with the item at `index` replaced. */
export function replaceAt<Item>(
  items: readonly Item[],
  index: number,
  item: Item,
): Item[] {
  return items.map((existing, itemIndex) =>
    itemIndex === index ? item : existing,
  );
}

/** Returns a copy with the item at `index` replaced by the result of `update`. */
export function updateAt<Item>(
  items: readonly Item[],
  index: number,
  update: (item: Item) => Item,
): Item[] {
  return items.map((item, itemIndex) =>
    itemIndex === index ? update(item) : item,
  );
}

/** Returns a copy without the item at `index`. */
export function removeAt<Item>(items: readonly Item[], index: number): Item[] {
  return items.filter((_, itemIndex) => itemIndex !== index);
}

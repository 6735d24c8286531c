/** Items by what `keyOf` says of each, both keys and items in the order in which they come. */
export function groupBy<Key, Item>(
  items: Iterable<Item>,
  keyOf: (item: Item) => Key,
): Map<Key, Item[]> {
  const groups = new Map<Key, Item[]>();
  for (const item of items) {
    const key = keyOf(item);
    const group = groups.get(key);
    if (group) group.push(item);
    else groups.set(key, [item]);
  }
  return groups;
}

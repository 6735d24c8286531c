/** Groups items by the key that `keyOf` returns; keys and items keep the order of the input. */
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

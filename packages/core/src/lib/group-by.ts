/**
 * @param items - The items to group.
 * @param keyOf - Returns the key of an item.
 * @returns The items of each key, in their order.
 */
export const groupBy = <T>(
  items: readonly T[],
  keyOf: (item: T) => string,
): Map<string, T[]> => {
  const groups = new Map<string, T[]>();
  for (const item of items) {
    const key = keyOf(item);
    const group = groups.get(key);
    if (group) {
      group.push(item);
    } else {
      groups.set(key, [item]);
    }
  }
  return groups;
};

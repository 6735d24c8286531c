import {createHash} from 'node:crypto';

/**
 * Returns the members in the order in which they should perform a duty. The order is the same
 * at all daemons, so that one daemon acts and not all seven, and differs for each `duty`, so
 * that it is not always the same daemon.
 */
export function rendezvousOrder(
  members: Iterable<{readonly incarnation: string}>,
  duty: string,
): string[] {
  const sortKeyOf = (incarnation: string) =>
    createHash('sha256').update(`${duty} ${incarnation}`).digest('hex');
  return [...members]
    .map(({incarnation}) => ({incarnation, key: sortKeyOf(incarnation)}))
    .sort((left, right) => (left.key < right.key ? -1 : 1))
    .map(({incarnation}) => incarnation);
}

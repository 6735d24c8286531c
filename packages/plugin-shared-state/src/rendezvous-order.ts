import {createHash} from 'node:crypto';

/**
 * Members in the order in which they are to do a duty: the same at all daemons, another one
 * for each `duty`, so that one daemon does it and not seven, and not always the same.
 */
export function rendezvousOrder(
  members: Iterable<{readonly incarnation: string}>,
  duty: string,
): string[] {
  const order = (incarnation: string) =>
    createHash('sha256').update(`${duty} ${incarnation}`).digest('hex');
  return [...members]
    .map(({incarnation}) => ({incarnation, key: order(incarnation)}))
    .sort((left, right) => (left.key < right.key ? -1 : 1))
    .map(({incarnation}) => incarnation);
}

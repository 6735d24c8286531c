import type {FleetState} from './fleet-state.js';
import {HashedTable, hashText} from './hashed-table.js';

const HEXADECIMAL = 16;
const HASH_DIGITS = 16;

/** All tables of the state by field name, in the order of names. */
export function tablesOf(
  state: FleetState,
): ReadonlyArray<readonly [string, HashedTable<unknown>]> {
  return Object.entries(state)
    .filter(
      (entry): entry is [string, HashedTable<unknown>] =>
        entry[1] instanceof HashedTable,
    )
    .sort(([left], [right]) => (left < right ? -1 : 1));
}

/** Hash of everything agreed, in hexadecimal: equal offsets must give equal hashes. */
export function stateHash(state: FleetState): string {
  const parts = [
    String(state.nextOffset),
    String(state.formatInUse),
    state.inForce
      ? `${state.inForce.digest}@${state.inForce.offset}`
      : 'nothing',
    // An empty table does not count: a daemon whose version has no such table agrees with it.
    ...tablesOf(state)
      .filter(([, table]) => table.size > 0)
      .map(([name, table]) => `${name}=${table.hash}`),
  ];
  return hashText(parts.join('\n'))
    .toString(HEXADECIMAL)
    .padStart(HASH_DIGITS, '0');
}

import type {FleetState} from './fleet-state.js';
import {HashedTable, hashText} from './hashed-table.js';

const HEXADECIMAL = 16;
const HASH_DIGITS = 16;

/** Returns all tables of the state with their field names, sorted by name. */
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

/**
 * Returns the hash of the agreed state in hexadecimal; daemons at the same offset must have the
 * same hash.
 */
export function stateHash(state: FleetState): string {
  const parts = [
    String(state.nextOffset),
    String(state.formatInUse),
    state.inForce
      ? `${state.inForce.digest}@${state.inForce.offset}`
      : 'nothing',
    // Empty tables are left out, so that a daemon whose version lacks such a table has the same
    // hash.
    ...tablesOf(state)
      .filter(([, table]) => table.size > 0)
      .map(([name, table]) => `${name}=${table.hash}`),
  ];
  return hashText(parts.join('\n'))
    .toString(HEXADECIMAL)
    .padStart(HASH_DIGITS, '0');
}

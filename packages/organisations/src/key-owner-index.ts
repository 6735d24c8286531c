import {digestKey, type KeyDigest} from './key-digest.js';
import type {Organisation} from './organisation.js';

/** Finds the organisation that a key belongs to. */
export class KeyOwnerIndex {
  private readonly owners = new Map<KeyDigest, Organisation>();
  /** Names of organisations that hold a key which another one holds as well. */
  readonly conflictingOrganisations: readonly string[];

  constructor(organisations: Iterable<Organisation>) {
    const conflicts = new Map<KeyDigest, Set<string>>();
    for (const organisation of organisations)
      for (const key of organisation.keyDigests) {
        const owner = this.owners.get(key);
        if (owner && owner.name !== organisation.name)
          conflicts.set(
            key,
            new Set([
              ...(conflicts.get(key) ?? []),
              owner.name,
              organisation.name,
            ]),
          );
        this.owners.set(key, organisation);
      }
    // A key held by two organisations would give each of them access to the jobs of the
    // other, so it gives no access at all.
    for (const key of conflicts.keys()) this.owners.delete(key);
    this.conflictingOrganisations = [
      ...new Set([...conflicts.values()].flatMap(set => [...set])),
    ];
  }

  /** Returns the owner of a key; undefined if no organisation holds it. */
  ownerOf(key: string): Organisation | undefined {
    return key === '' ? undefined : this.owners.get(digestKey(key));
  }
}

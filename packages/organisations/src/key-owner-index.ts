import {digestKey, type KeyDigest} from './key-digest.js';
import type {Organisation} from './organisation.js';

/** Finds the organisation that a key belongs to. */
export class KeyOwnerIndex {
  private readonly owners = new Map<KeyDigest, Organisation>();
  /** Names of organisations that hold a key of another one. */
  readonly conflictingOrganisations: readonly string[];

  constructor(organisations: Iterable<Organisation>) {
    const shared = new Map<KeyDigest, Set<string>>();
    for (const organisation of organisations)
      for (const key of organisation.keyDigests) {
        const owner = this.owners.get(key);
        if (owner && owner.name !== organisation.name)
          shared.set(
            key,
            new Set([
              ...(shared.get(key) ?? []),
              owner.name,
              organisation.name,
            ]),
          );
        this.owners.set(key, organisation);
      }
    // A key of two organisations would show each of them the jobs of the other: it opens nothing.
    for (const key of shared.keys()) this.owners.delete(key);
    this.conflictingOrganisations = [
      ...new Set([...shared.values()].flatMap(set => [...set])),
    ];
  }

  /** Undefined for a key that no organisation holds. */
  ownerOf(key: string): Organisation | undefined {
    return key === '' ? undefined : this.owners.get(digestKey(key));
  }
}

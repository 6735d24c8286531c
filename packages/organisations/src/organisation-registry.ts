import {KeyOwnerIndex} from './key-owner-index.js';
import {
  NO_LIMIT,
  type Organisation,
  type RejectedOrganisation,
  type Resources,
} from './organisation.js';

/** Organisations as one version of the configuration names them. */
export interface OrganisationList {
  readonly organisations: readonly Organisation[];
  readonly rejected: readonly RejectedOrganisation[];
}

/** The organisations in force, through all versions of the configuration. */
export class OrganisationRegistry {
  private present = new Map<string, Organisation>();
  private readonly departed = new Map<string, Organisation>();
  private keyOwnerIndex = new KeyOwnerIndex([]);

  /** Organisations of the newest version. */
  all(): Iterable<Organisation> {
    return this.present.values();
  }

  get keyOwners(): KeyOwnerIndex {
    return this.keyOwnerIndex;
  }

  /** Takes a newer version. One whose settings can't be read stays as it was: the others must not wait for it. */
  replace({organisations, rejected}: OrganisationList): void {
    const next = new Map(organisations.map(one => [one.name, one]));
    for (const {name = ''} of rejected) {
      const before = this.present.get(name);
      if (before && !next.has(name)) next.set(name, before);
    }
    for (const [name, one] of this.present)
      if (!next.has(name)) this.departed.set(name, one);
    for (const name of next.keys()) this.departed.delete(name);
    this.present = next;
    this.keyOwnerIndex = new KeyOwnerIndex(next.values());
  }

  /** Also finds one that has left the configuration: what was taken in from it goes on within its last limit. */
  find(name: string): Organisation | undefined {
    return this.present.get(name) ?? this.departed.get(name);
  }

  /** Its limit, also of one that has left; none where it is not known. */
  limitOf(name: string): Resources {
    return this.find(name)?.limit ?? NO_LIMIT;
  }
}

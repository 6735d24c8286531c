import {KeyOwnerIndex} from './key-owner-index.js';
import {
  NO_LIMIT,
  type Organisation,
  type RejectedOrganisation,
  type Resources,
} from './organisation.js';

/** The organisations in one version of the configuration. */
export interface OrganisationList {
  readonly organisations: readonly Organisation[];
  readonly rejected: readonly RejectedOrganisation[];
}

/** Keeps the current organisations across all versions of the configuration. */
export class OrganisationRegistry {
  private present = new Map<string, Organisation>();
  private readonly departed = new Map<string, Organisation>();
  private keyOwnerIndex = new KeyOwnerIndex([]);

  /** Returns the organisations of the newest version. */
  all(): Iterable<Organisation> {
    return this.present.values();
  }

  get keyOwners(): KeyOwnerIndex {
    return this.keyOwnerIndex;
  }

  /**
   * Applies a newer version. An organisation whose settings cannot be read keeps its
   * previous ones, so that it does not hold up the others.
   */
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

  /**
   * Also finds an organisation that was removed from the configuration: its accepted
   * work continues within its last limit.
   */
  find(name: string): Organisation | undefined {
    return this.present.get(name) ?? this.departed.get(name);
  }

  /**
   * Returns the limit of an organisation, including a removed one; no limit if it is
   * unknown.
   */
  limitOf(name: string): Resources {
    return this.find(name)?.limit ?? NO_LIMIT;
  }
}

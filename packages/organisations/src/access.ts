import type {Organisation} from './organisation.js';

/** What is to be done with a call. */
export enum AccessVerdict {
  Admitted = 'admitted',
  /** Its key opens nothing, by a configuration that was read after the call came. */
  Refused = 'refused',
  /** The key is not known; a newer configuration may hold it. */
  NeedsRefresh = 'verify',
  /** The configuration at hand is too old to tell. */
  Undetermined = 'unsure',
}

/** What is known of a call when it is judged. */
export interface AccessFacts {
  /** The queue asks for no key. */
  readonly isPublic: boolean;
  /** Whose key it is by the configuration at hand. */
  readonly organisation: Organisation | undefined;
  /** Whether the call hands in or cancels a job. */
  readonly changesJobs: boolean;
  /** Milliseconds since the configuration at hand was the newest one for certain. */
  readonly ageMilliseconds: number;
  /** Whether the configuration was read again since the call came; undefined where that was not tried. */
  readonly wasRefreshed: boolean | undefined;
}

/** How old a configuration may be, in milliseconds. */
export interface ConfigurationAgeLimits {
  /** Within this a configuration is in force everywhere. */
  readonly configurationInForceMilliseconds: number;
  /** So much longer where the store serves only some of the daemons. */
  readonly extensionMilliseconds: number;
}

/** Room for the way of a call and for clocks that run apart. */
const MARGIN_MILLISECONDS = 500;

/**
 * Judges a call by its key.
 * Load: a store that turns some daemons away while keys come and go. A daemon that goes on by an old
 * configuration serves a key that was taken away; one that refuses all it does not know turns away an
 * organisation with a new key. So a key is refused only by what was read after the call came, and new work is
 * taken only while the configuration is within its bound; asking for a job goes on until that is stretched.
 */
export function decideAccess(
  facts: AccessFacts,
  bounds: ConfigurationAgeLimits,
): AccessVerdict {
  const {
    isPublic,
    organisation,
    changesJobs,
    wasRefreshed: wasVerified,
  } = facts;
  if (isPublic) return AccessVerdict.Admitted;
  if (!organisation) {
    if (wasVerified === undefined) return AccessVerdict.NeedsRefresh;
    return wasVerified ? AccessVerdict.Refused : AccessVerdict.Undetermined;
  }
  const bound =
    bounds.configurationInForceMilliseconds +
    (changesJobs ? 0 : bounds.extensionMilliseconds);
  return facts.ageMilliseconds <= bound - MARGIN_MILLISECONDS
    ? AccessVerdict.Admitted
    : AccessVerdict.Undetermined;
}

/** Who calls, and through which queue. */
export interface Caller {
  /** Undefined for a caller of a public queue. */
  readonly organisation: string | undefined;
  readonly queue: string;
  readonly isPublicQueue: boolean;
}

/** The part of a job that decides who may see it. */
export interface OwnedJob {
  /** Undefined for a job of a public queue. */
  readonly organisation?: string;
  readonly queue: string;
}

/** Whether a caller may ask for a job or cancel it. */
export function mayAccessJob(job: OwnedJob, caller: Caller): boolean {
  if (job.organisation === undefined) return true;
  if (job.organisation === caller.organisation) return true;
  // Operators have opened the queue of the job to all.
  return caller.isPublicQueue && caller.queue === job.queue;
}

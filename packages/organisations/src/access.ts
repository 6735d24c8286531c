import type {Organisation} from './organisation.js';

/** The outcome of an access decision. */
export enum AccessVerdict {
  Admitted = 'admitted',
  /**
   * Its key gives no access according to a configuration read after the call arrived.
   */
  Refused = 'refused',
  /** The key is unknown, but a newer configuration may contain it. */
  NeedsRefresh = 'verify',
  /** The current configuration is too old to decide. */
  Undetermined = 'unsure',
}

/** Facts on which the decision about a call is based. */
export interface AccessFacts {
  /** Whether the queue requires no key. */
  readonly isPublic: boolean;
  /** Owner of the key according to the current configuration. */
  readonly organisation: Organisation | undefined;
  /** Whether the call submits or cancels a job. */
  readonly changesJobs: boolean;
  /**
   * Time in milliseconds since the current configuration was last known to be the
   * newest one.
   */
  readonly ageMilliseconds: number;
  /**
   * Whether the configuration has been read again since the call arrived; undefined if
   * that has not been attempted.
   */
  readonly wasRefreshed: boolean | undefined;
}

/** Maximum age of a configuration, in milliseconds. */
export interface ConfigurationAgeLimits {
  /** Time within which a configuration is in force everywhere. */
  readonly configurationInForceMilliseconds: number;
  /**
   * Added to the maximum age for calls that change nothing, for times when the store
   * serves only some of the daemons.
   */
  readonly extensionMilliseconds: number;
}

/** Allows for the latency of a call and for clocks that differ. */
const MARGIN_MILLISECONDS = 500;

/**
 * Decides on a call by its key.
 * Load: a store that rejects some daemons while keys are added and revoked. Without
 * these rules, a daemon that continues with an old configuration accepts a revoked key,
 * and one that refuses every unknown key rejects an organisation with a new key. So a
 * key is refused only by a configuration read after the call arrived, and new work is
 * accepted only while the configuration is within its maximum age; queries about jobs
 * are answered until the extended maximum age.
 */
export function decideAccess(
  facts: AccessFacts,
  limits: ConfigurationAgeLimits,
): AccessVerdict {
  const {isPublic, organisation, changesJobs, wasRefreshed} = facts;
  if (isPublic) return AccessVerdict.Admitted;
  if (!organisation) {
    if (wasRefreshed === undefined) return AccessVerdict.NeedsRefresh;
    return wasRefreshed ? AccessVerdict.Refused : AccessVerdict.Undetermined;
  }
  const maximumAge =
    limits.configurationInForceMilliseconds +
    (changesJobs ? 0 : limits.extensionMilliseconds);
  return facts.ageMilliseconds <= maximumAge - MARGIN_MILLISECONDS
    ? AccessVerdict.Admitted
    : AccessVerdict.Undetermined;
}

/** A caller and the queue through which it calls. */
export interface Caller {
  /** Undefined for a caller of a public queue. */
  readonly organisation: string | undefined;
  readonly queue: string;
  readonly isPublicQueue: boolean;
}

/** The part of a job that decides who may access it. */
export interface OwnedJob {
  /** Undefined for a job of a public queue. */
  readonly organisation?: string;
  readonly queue: string;
}

/** Names the callers that may access the same jobs as `caller`. */
export function callerScope({
  organisation,
  queue,
  isPublicQueue,
}: Caller): string {
  return JSON.stringify([organisation ?? null, isPublicQueue ? queue : null]);
}

/** Whether a caller may query a job or cancel it. */
export function mayAccessJob(job: OwnedJob, caller: Caller): boolean {
  if (job.organisation === undefined) return true;
  if (job.organisation === caller.organisation) return true;
  // Operators have made the queue of the job public.
  return caller.isPublicQueue && caller.queue === job.queue;
}

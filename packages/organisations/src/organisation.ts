import type {KeyDigest} from './key-digest.js';

/**
 * Amounts of the resources that workers have: the capacity of a worker, what a task takes of it,
 * an organisation's running work, or its limit.
 */
export interface Resources {
  readonly processorMillicores: number;
  readonly memoryMegabytes: number;
  readonly accelerators: number;
}

/** An organisation that submits work. */
export interface Organisation {
  readonly name: string;
  /** Digests of the keys that its callers use; empty once all keys are revoked. */
  readonly keyDigests: readonly KeyDigest[];
  /** Its weight, relative to the weights of the others, when a full pool is shared. */
  readonly weight: number;
  /**
   * Maximum resources of its running tasks on all workers together; an amount of 0
   * means no limit.
   */
  readonly limit: Resources;
}

/** An organisation whose settings could not be read. */
export interface RejectedOrganisation {
  /** Undefined if not even the name could be read. */
  readonly name: string | undefined;
  /** Names the invalid field; never contains a key. */
  readonly reason: string;
}

/** Limit of organisations without a configured limit. */
export const NO_LIMIT: Resources = {
  processorMillicores: 0,
  memoryMegabytes: 0,
  accelerators: 0,
};

import type {KeyDigest} from './key-digest.js';

/** Room on workers, of a task, of an organisation's running work, or of its limit. */
export interface Resources {
  readonly processorMillicores: number;
  readonly memoryMegabytes: number;
  readonly accelerators: number;
}

/** An organisation that hands work in. */
export interface Organisation {
  readonly name: string;
  /** Digests of the keys that its callers show; empty once all were taken away. */
  readonly keyDigests: readonly KeyDigest[];
  /** Its share of the room when all is full, against the weights of the others. */
  readonly weight: number;
  /** What it may have running on all workers together; an amount of 0 is no limit. */
  readonly limit: Resources;
}

/** An organisation whose settings could not be read. */
export interface RejectedOrganisation {
  /** Undefined where not even the name could be read. */
  readonly name: string | undefined;
  /** Names the field that is wrong; never holds a key. */
  readonly reason: string;
}

/** Limit of organisations for which none is set. */
export const NO_LIMIT: Resources = {
  processorMillicores: 0,
  memoryMegabytes: 0,
  accelerators: 0,
};

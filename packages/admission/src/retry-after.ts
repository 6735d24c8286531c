const MINIMUM_SECONDS = 1;
const MAXIMUM_SECONDS = 8;
const JITTER_SECONDS = 2;
const MILLISECONDS_PER_SECOND = 1_000;
const HASH_FACTOR = 31;

/**
 * Returns the seconds after which a caller should retry, given the milliseconds by which its job
 * would end too late now.
 * Load: a burst of hundreds of refused jobs. Without the jitter, which depends on the job's id,
 * all of them are retried within the same second.
 */
export function retryAfterSeconds(
  jobId: string,
  excessMilliseconds: number,
): number {
  const seconds = Math.ceil(excessMilliseconds / MILLISECONDS_PER_SECOND);
  const bounded = Math.min(MAXIMUM_SECONDS, Math.max(MINIMUM_SECONDS, seconds));
  return bounded + (hashOf(jobId) % (JITTER_SECONDS + 1));
}

function hashOf(text: string): number {
  let hash = 7;
  for (const character of text)
    hash = (Math.imul(hash, HASH_FACTOR) + character.charCodeAt(0)) >>> 0;
  // The lowest bits of the product depend on few characters; the shift mixes in the others.
  return (hash ^ (hash >>> 15)) >>> 0;
}

import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';

const UINT32_RANGE = 0x1_0000_0000;

/** Source of random numbers, injected so that tests can fix its seed. */
export interface RandomSource {
  /** Returns a number in [0, 1). */
  nextFraction(): number;
  /** Returns an integer in [0, bound). */
  nextInteger(bound: number): number;
}

/** Generates reproducible random numbers from a seed. */
export class SeededRandom implements RandomSource {
  private readonly generator: RandomGenerator;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  nextFraction(): number {
    return (this.generator.next() >>> 0) / UINT32_RANGE;
  }

  nextInteger(bound: number): number {
    return Math.floor(this.nextFraction() * bound);
  }
}

/** Returns a delay with jitter in [base / 2, base), so that callers do not act in lockstep. */
export function jitter(random: RandomSource, baseMilliseconds: number): number {
  return baseMilliseconds / 2 + (random.nextFraction() * baseMilliseconds) / 2;
}

/** Returns an exponential backoff delay with jitter; `attempt` counts from 0. */
export function backoff(
  random: RandomSource,
  attempt: number,
  baseMilliseconds: number,
  maximumMilliseconds: number,
): number {
  const exponentialMilliseconds = baseMilliseconds * 2 ** Math.min(attempt, 20);
  return jitter(random, Math.min(exponentialMilliseconds, maximumMilliseconds));
}

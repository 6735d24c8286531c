import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';

const UINT32_RANGE = 0x1_0000_0000;

/** Source of random numbers that is passed in, so that tests can fix its seed. */
export interface RandomSource {
  /** A number in [0, 1). */
  nextFraction(): number;
  /** An integer in [0, bound). */
  nextInteger(bound: number): number;
}

/** Reproducible random numbers from a seed. */
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

/** A delay with full jitter in [base / 2, base), so that callers do not act in step. */
export function jitter(random: RandomSource, baseMilliseconds: number): number {
  return baseMilliseconds / 2 + (random.nextFraction() * baseMilliseconds) / 2;
}

/** Exponential backoff with jitter: `attempt` counts from 0. */
export function backoff(
  random: RandomSource,
  attempt: number,
  baseMilliseconds: number,
  maximumMilliseconds: number,
): number {
  const grown = baseMilliseconds * 2 ** Math.min(attempt, 20);
  return jitter(random, Math.min(grown, maximumMilliseconds));
}

import type {RandomSource} from '@gentiandoor/kernel';

/** What the choice needs to know of a request. */
export interface SelectionRequest {
  readonly idempotent: boolean;
  /** Targets that failed this request already. */
  readonly tried?: ReadonlySet<string>;
  /** Whether slots that peers leave idle may be used as well; only the daemon's own when false. */
  readonly mayBorrow?: boolean;
  /** Whether a target with a small weight may be used whatever its weight. */
  readonly ignoresWeight?: boolean;
}

/** What the choice knows of one target. */
export interface TargetCandidate {
  readonly id: string;
  /** Whether this request may start there now. */
  canAccept(ask: SelectionRequest): boolean;
  /** Expected cost of one more exchange there; lower is better. */
  cost(): number;
  /** Share of the usual load that the target may get now, in (0, 1]. */
  weight(): number;
}

/** Picks the target of a request; undefined when none has room. */
export interface TargetSelector {
  select<Target extends TargetCandidate>(
    targets: readonly Target[],
    ask: SelectionRequest,
  ): Target | undefined;
}

/** Targets looked at; docs/design/target-choice.md compares two, four, twelve and all. */
const SAMPLE_SIZE = 12;

/**
 * Takes the cheapest with room of up to twelve targets: all of a small pool, random ones of a
 * large pool.
 * Answers many daemons that each see a part of the load: with a plain random choice a slow target
 * gets as much as a fast one. That all daemons find the same idle target at once is prevented by
 * the slot shares, since each daemon uses its own part of every target first; what is left of that
 * fault is why a large pool is sampled, besides the time to look at every target. Where no sample
 * has room the pool is looked through from a random start; that is where a request would wait.
 */
export class SampledSelector implements TargetSelector {
  constructor(
    private readonly random: RandomSource,
    private readonly sampleSize = SAMPLE_SIZE,
  ) {}

  select<Target extends TargetCandidate>(
    targets: readonly Target[],
    ask: SelectionRequest,
  ): Target | undefined {
    const {length} = targets;
    if (length === 0) return undefined;
    const isSmall = length <= this.sampleSize;
    const start = this.random.nextInteger(length);
    let best: Target | undefined;
    for (let step = 0; step < Math.min(length, this.sampleSize); step++) {
      const index = isSmall
        ? (start + step) % length
        : this.random.nextInteger(length);
      const target = targets[index];
      if (target === best || !isEligible(target, ask)) continue;
      if (!passesWeight(this.random, target, ask)) continue;
      if (!best || target.cost() < best.cost()) best = target;
    }
    if (best || isSmall) return best;
    return scanFromRandomStart(this.random, targets, ask);
  }
}

/** Takes any target with room: the baseline. */
export class RandomSelector implements TargetSelector {
  constructor(private readonly random: RandomSource) {}

  select<Target extends TargetCandidate>(
    targets: readonly Target[],
    ask: SelectionRequest,
  ): Target | undefined {
    return scanFromRandomStart(this.random, targets, ask);
  }
}

/** Takes the cheapest of all: what sampling is weighed against. */
export class LeastCostSelector implements TargetSelector {
  select<Target extends TargetCandidate>(
    targets: readonly Target[],
    ask: SelectionRequest,
  ): Target | undefined {
    let best: Target | undefined;
    for (const target of targets) {
      if (!isEligible(target, ask)) continue;
      if (!best || target.cost() < best.cost()) best = target;
    }
    return best;
  }
}

function isEligible(target: TargetCandidate, ask: SelectionRequest): boolean {
  return !ask.tried?.has(target.id) && target.canAccept(ask);
}

function scanFromRandomStart<Target extends TargetCandidate>(
  random: RandomSource,
  targets: readonly Target[],
  ask: SelectionRequest,
): Target | undefined {
  if (targets.length === 0) return undefined;
  const start = random.nextInteger(targets.length);
  for (let step = 0; step < targets.length; step++) {
    const target = targets[(start + step) % targets.length];
    if (isEligible(target, ask) && passesWeight(random, target, ask))
      return target;
  }
  return undefined;
}

/** A target with a small weight is passed over most times: slow start. */
function passesWeight(
  random: RandomSource,
  target: TargetCandidate,
  ask: SelectionRequest,
): boolean {
  if (ask.ignoresWeight) return true;
  const weight = target.weight();
  return weight >= 1 || random.nextFraction() < weight;
}

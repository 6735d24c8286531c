import type {RandomSource} from '@gentiandoor/kernel';

/** What the choice needs to know of a request. */
export interface ChoiceAsk {
  readonly idempotent: boolean;
  /** Targets that failed this request already. */
  readonly tried?: ReadonlySet<string>;
  /** Whether slots that peers leave idle may be used as well; only the daemon's own when false. */
  readonly mayBorrow?: boolean;
  /** Whether a target with a small weight may be used whatever its weight. */
  readonly mayBeCold?: boolean;
}

/** What the choice knows of one target. */
export interface TargetLoad {
  readonly id: string;
  /** Whether this request may start there now. */
  hasRoom(ask: ChoiceAsk): boolean;
  /** Expected cost of one more exchange there; lower is better. */
  cost(): number;
  /** Share of the usual load that the target may get now, in (0, 1]. */
  weight(): number;
}

/** Picks the target of a request; undefined when none has room. */
export interface TargetChoice {
  choose<Target extends TargetLoad>(
    targets: readonly Target[],
    ask: ChoiceAsk,
  ): Target | undefined;
}

/** Targets looked at; docs/design/target-choice.md compares two, four, twelve and all. */
const SAMPLES = 12;

/**
 * Takes the cheapest with room of up to twelve targets: all of a small pool, random ones of a
 * large pool.
 * Answers many daemons that each see a part of the load: with a plain random choice a slow target
 * gets as much as a fast one. That all daemons find the same idle target at once is prevented by
 * the slot shares, since each daemon uses its own part of every target first; what is left of that
 * fault is why a large pool is sampled, besides the time to look at every target. Where no sample
 * has room the pool is looked through from a random start; that is where a request would wait.
 */
export class SampledChoice implements TargetChoice {
  constructor(
    private readonly random: RandomSource,
    private readonly samples = SAMPLES,
  ) {}

  choose<Target extends TargetLoad>(
    targets: readonly Target[],
    ask: ChoiceAsk,
  ): Target | undefined {
    const {length} = targets;
    if (length === 0) return undefined;
    const isSmall = length <= this.samples;
    const start = this.random.nextInteger(length);
    let best: Target | undefined;
    for (let step = 0; step < Math.min(length, this.samples); step++) {
      const index = isSmall
        ? (start + step) % length
        : this.random.nextInteger(length);
      const target = targets[index];
      if (target === best || !isOpen(target, ask)) continue;
      if (!isWarmEnough(this.random, target, ask)) continue;
      if (!best || target.cost() < best.cost()) best = target;
    }
    if (best || isSmall) return best;
    return lookThrough(this.random, targets, ask);
  }
}

/** Takes any target with room: the baseline. */
export class RandomChoice implements TargetChoice {
  constructor(private readonly random: RandomSource) {}

  choose<Target extends TargetLoad>(
    targets: readonly Target[],
    ask: ChoiceAsk,
  ): Target | undefined {
    return lookThrough(this.random, targets, ask);
  }
}

/** Takes the cheapest of all: what sampling is weighed against. */
export class LeastCost implements TargetChoice {
  choose<Target extends TargetLoad>(
    targets: readonly Target[],
    ask: ChoiceAsk,
  ): Target | undefined {
    let best: Target | undefined;
    for (const target of targets) {
      if (!isOpen(target, ask)) continue;
      if (!best || target.cost() < best.cost()) best = target;
    }
    return best;
  }
}

function isOpen(target: TargetLoad, ask: ChoiceAsk): boolean {
  return !ask.tried?.has(target.id) && target.hasRoom(ask);
}

function lookThrough<Target extends TargetLoad>(
  random: RandomSource,
  targets: readonly Target[],
  ask: ChoiceAsk,
): Target | undefined {
  if (targets.length === 0) return undefined;
  const start = random.nextInteger(targets.length);
  for (let step = 0; step < targets.length; step++) {
    const target = targets[(start + step) % targets.length];
    if (isOpen(target, ask) && isWarmEnough(random, target, ask)) return target;
  }
  return undefined;
}

/** A target with a small weight is passed over most times: slow start. */
function isWarmEnough(
  random: RandomSource,
  target: TargetLoad,
  ask: ChoiceAsk,
): boolean {
  if (ask.mayBeCold) return true;
  const weight = target.weight();
  return weight >= 1 || random.nextFraction() < weight;
}

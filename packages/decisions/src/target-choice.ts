import type {RandomSource} from '@gentiandoor/kernel';

/** What the choice needs to know of a request. */
export interface ChoiceAsk {
  readonly idempotent: boolean;
  /** Targets that failed this request already. */
  readonly tried?: ReadonlySet<string>;
  /** Whether slots that peers leave idle may be used as well; only the daemon's own when false. */
  readonly mayBorrow?: boolean;
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

/** Random targets looked at before all are looked through. */
const SAMPLES = 4;

/**
 * Takes the cheaper of two random targets with room.
 * Answers many daemons that each see a part of the load: with "least loaded first" all daemons
 * find the same idle target at once and send it a burst; with a plain random choice a slow target
 * gets as much as a fast one. Four samples find two targets with room in a pool that is half
 * full; a pool fuller than that is looked through from a random start, which happens only where
 * a request would have to wait.
 */
export class TwoRandomChoices implements TargetChoice {
  constructor(private readonly random: RandomSource) {}

  choose<Target extends TargetLoad>(
    targets: readonly Target[],
    ask: ChoiceAsk,
  ): Target | undefined {
    let first: Target | undefined;
    for (let sample = 0; sample < SAMPLES; sample++) {
      const target = targets[this.random.nextInteger(targets.length)];
      if (!target || target === first || !isOpen(target, ask)) continue;
      if (!this.isLetThrough(target)) continue;
      if (first) return first.cost() <= target.cost() ? first : target;
      first = target;
    }
    return first ?? lookThrough(this.random, targets, ask);
  }

  /** A target with a small weight is passed over most times: slow start. */
  private isLetThrough(target: TargetLoad): boolean {
    const weight = target.weight();
    return weight >= 1 || this.random.nextFraction() < weight;
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

/** Takes the cheapest of all: what two random choices are weighed against. */
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
    if (isOpen(target, ask)) return target;
  }
  return undefined;
}

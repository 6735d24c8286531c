import type {RandomSource} from '@gentiandoor/kernel';

/** What the selection needs to know about a request. */
export interface SelectionRequest {
  readonly idempotent: boolean;
  /** Targets on which this request has already failed. */
  readonly tried?: ReadonlySet<string>;
  /** Whether slots that peers leave idle may be used as well; if false, only the daemon's own. */
  readonly mayBorrow?: boolean;
  /** Whether a target may be used regardless of its weight. */
  readonly ignoresWeight?: boolean;
}

/** What the selection knows about one target. */
export interface TargetCandidate {
  readonly id: string;
  /** Whether this request may start there now. */
  canAccept(request: SelectionRequest): boolean;
  /** Returns the expected cost of one more exchange there; lower is better. */
  cost(): number;
  /** Returns the share of its usual load that the target may receive now, in (0, 1]. */
  weight(): number;
}

/** Selects the target of a request; undefined if none can accept it. */
export interface TargetSelector {
  select<Target extends TargetCandidate>(
    targets: readonly Target[],
    request: SelectionRequest,
  ): Target | undefined;
}

/** Number of targets compared; docs/design/target-choice.md compares two, four, twelve and all. */
const SAMPLE_SIZE = 12;

/**
 * Selects the cheapest target with a free slot out of up to twelve: all targets of a small pool,
 * random ones of a large pool.
 * Load: many daemons that each see a part of the load. With a plain random selection a slow target
 * gets as much work as a fast one. The slot limits prevent all daemons from choosing the same idle
 * target at once, since each daemon uses its own part of every target first; what remains of that
 * problem is why a large pool is sampled, besides the time it takes to compare every target. If no
 * sampled target has a free slot, the pool is scanned from a random start, since the request would
 * otherwise wait.
 */
export class SampledSelector implements TargetSelector {
  constructor(
    private readonly random: RandomSource,
    private readonly sampleSize = SAMPLE_SIZE,
  ) {}

  select<Target extends TargetCandidate>(
    targets: readonly Target[],
    request: SelectionRequest,
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
      if (target === best || !isEligible(target, request)) continue;
      if (!passesWeight(this.random, target, request)) continue;
      if (!best || target.cost() < best.cost()) best = target;
    }
    if (best || isSmall) return best;
    return scanFromRandomStart(this.random, targets, request);
  }
}

/** Selects any target with a free slot: the baseline. */
export class RandomSelector implements TargetSelector {
  constructor(private readonly random: RandomSource) {}

  select<Target extends TargetCandidate>(
    targets: readonly Target[],
    request: SelectionRequest,
  ): Target | undefined {
    return scanFromRandomStart(this.random, targets, request);
  }
}

/** Selects the cheapest of all targets: the alternative that sampling is compared with. */
export class LeastCostSelector implements TargetSelector {
  select<Target extends TargetCandidate>(
    targets: readonly Target[],
    request: SelectionRequest,
  ): Target | undefined {
    let best: Target | undefined;
    for (const target of targets) {
      if (!isEligible(target, request)) continue;
      if (!best || target.cost() < best.cost()) best = target;
    }
    return best;
  }
}

function isEligible(
  target: TargetCandidate,
  request: SelectionRequest,
): boolean {
  return !request.tried?.has(target.id) && target.canAccept(request);
}

function scanFromRandomStart<Target extends TargetCandidate>(
  random: RandomSource,
  targets: readonly Target[],
  request: SelectionRequest,
): Target | undefined {
  if (targets.length === 0) return undefined;
  const start = random.nextInteger(targets.length);
  for (let step = 0; step < targets.length; step++) {
    const target = targets[(start + step) % targets.length];
    if (isEligible(target, request) && passesWeight(random, target, request))
      return target;
  }
  return undefined;
}

/** Skips a target with a small weight most of the time, for a slow start. */
function passesWeight(
  random: RandomSource,
  target: TargetCandidate,
  request: SelectionRequest,
): boolean {
  if (request.ignoresWeight) return true;
  const weight = target.weight();
  return weight >= 1 || random.nextFraction() < weight;
}

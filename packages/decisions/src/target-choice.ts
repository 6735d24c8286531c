import type {RandomSource} from '@gentiandoor/kernel';

/** What the choice knows of one target. */
export interface TargetLoad {
  readonly id: string;
  /** Exchanges that this daemon has in flight there. */
  readonly inFlight: number;
  /** Exchanges that this daemon may have in flight there. */
  readonly slots: number;
}

/** Picks the target of a request; undefined when none has room. */
export interface TargetChoice {
  choose<Target extends TargetLoad>(
    targets: readonly Target[],
  ): Target | undefined;
}

/**
 * Takes the less loaded of two random targets with room.
 * Answers many daemons that each see a part of the load: with "least loaded first" all
 * daemons find the same idle target at once and send it a burst.
 */
export class TwoRandomChoices implements TargetChoice {
  constructor(private readonly random: RandomSource) {}

  choose<Target extends TargetLoad>(
    targets: readonly Target[],
  ): Target | undefined {
    const open = targets.filter(target => target.inFlight < target.slots);
    if (open.length < 2) return open[0];
    const first = this.random.nextInteger(open.length);
    const step = 1 + this.random.nextInteger(open.length - 1);
    const second = (first + step) % open.length;
    return lessLoaded(open[first], open[second]);
  }
}

function lessLoaded<Target extends TargetLoad>(
  left: Target,
  right: Target,
): Target {
  return left.inFlight / left.slots <= right.inFlight / right.slots
    ? left
    : right;
}

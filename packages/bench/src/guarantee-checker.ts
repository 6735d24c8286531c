import type {TargetServer} from '@gentiandoor/stand-ins';

/** What a caller saw of one request. */
export interface CallerOutcome {
  readonly id: string;
  readonly service: string;
  readonly idempotent: boolean;
  /** 0 when the connection was cut. */
  readonly status: number;
  /** Error kind; empty for a target's own answer. */
  readonly reason: string;
  /** Value of the header `gentiandoor-run`; empty when the connection was cut. */
  readonly run: string;
  /** True when a whole answer came and names this request. */
  readonly isComplete: boolean;
  /** True when an answer came that belongs to another request. */
  readonly mixed: boolean;
}

/** Counts of broken promises; all must be 0. */
export interface GuaranteeViolations {
  /** Non-idempotent requests that targets ran more than once. */
  readonly runMoreThanOnce: number;
  /** Requests whose caller was told "not run" although a target ran them. */
  readonly falseNotRun: number;
  /** Answers that were cut after they began, or never came. */
  readonly cut: number;
  /** Answers that belong to another request. */
  readonly mixed: number;
}

/** Sets what callers were told against what targets ran. */
export class GuaranteeChecker {
  readonly outcomes: CallerOutcome[] = [];

  record(outcome: CallerOutcome): void {
    this.outcomes.push(outcome);
  }

  /** Requests by service and result, most first. */
  summary(): Map<string, number> {
    const counts = new Map<string, number>();
    for (const outcome of this.outcomes) {
      const key = `${outcome.service}: ${describeOutcome(outcome)}`;
      counts.set(key, (counts.get(key) ?? 0) + 1);
    }
    return new Map([...counts].sort(([, left], [, right]) => right - left));
  }

  violations(targets: Iterable<TargetServer>): GuaranteeViolations {
    const runs = countRuns(targets);
    const count = (test: (outcome: CallerOutcome) => boolean) =>
      this.outcomes.filter(test).length;
    const ids = new Map(
      this.outcomes.map(outcome => [outcome.id, outcome.idempotent]),
    );
    const doubled = [...ids].filter(
      ([id, idempotent]) => !idempotent && (runs.get(id) ?? 0) > 1,
    );
    return {
      runMoreThanOnce: doubled.length,
      falseNotRun: count(
        outcome => outcome.run === 'no' && this.isRunUnexplained(outcome, runs),
      ),
      cut: count(outcome => outcome.status === 0),
      mixed: count(outcome => outcome.mixed),
    };
  }

  /** A run that no other attempt under the same id accounts for. */
  private isRunUnexplained(
    outcome: CallerOutcome,
    runs: ReadonlyMap<string, number>,
  ): boolean {
    if ((runs.get(outcome.id) ?? 0) === 0) return false;
    return !this.outcomes.some(
      other =>
        other.id === outcome.id && other !== outcome && other.run !== 'no',
    );
  }
}

function describeOutcome(outcome: CallerOutcome): string {
  if (outcome.mixed) return 'MIXED answer';
  if (outcome.isComplete) return `whole answer, status ${outcome.status}`;
  if (outcome.status === 0) return 'CUT';
  return `${outcome.reason}, status ${outcome.status}, run ${outcome.run}`;
}

function countRuns(targets: Iterable<TargetServer>): Map<string, number> {
  const runs = new Map<string, number>();
  for (const target of targets) {
    for (const {path} of target.executedRequests) {
      const id = requestIdOf(path);
      runs.set(id, (runs.get(id) ?? 0) + 1);
    }
  }
  return runs;
}

/** The request id that a path ends with. */
export function requestIdOf(path: string): string {
  return path.slice(path.lastIndexOf('/') + 1);
}

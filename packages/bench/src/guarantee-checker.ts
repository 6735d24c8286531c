import type {TargetServer} from '@gentiandoor/stand-ins';

/** The outcome of one request as its caller observed it. */
export interface CallerOutcome {
  readonly id: string;
  readonly service: string;
  readonly idempotent: boolean;
  /** HTTP status; 0 when the connection was lost. */
  readonly status: number;
  /** Error kind; empty for a target's own response. */
  readonly reason: string;
  /** Value of the header `gentiandoor-run`; empty when the connection was lost. */
  readonly run: string;
  /** True when a complete response arrived that belongs to this request. */
  readonly isComplete: boolean;
  /** True when the response belongs to another request. */
  readonly mixed: boolean;
}

/** Counts of violated guarantees; all must be 0. */
export interface GuaranteeViolations {
  /** Non-idempotent requests that targets executed more than once. */
  readonly runMoreThanOnce: number;
  /** Requests reported to the caller as "not run" although a target executed them. */
  readonly falseNotRun: number;
  /** Responses that were truncated or never arrived. */
  readonly cut: number;
  /** Responses that belong to another request. */
  readonly mixed: number;
}

/** Compares the responses that callers received with the requests that targets executed. */
export class GuaranteeChecker {
  readonly outcomes: CallerOutcome[] = [];

  record(outcome: CallerOutcome): void {
    this.outcomes.push(outcome);
  }

  /** Returns counts of requests by service and outcome, in descending order. */
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
    const duplicates = [...ids].filter(
      ([id, idempotent]) => !idempotent && (runs.get(id) ?? 0) > 1,
    );
    return {
      runMoreThanOnce: duplicates.length,
      falseNotRun: count(
        outcome => outcome.run === 'no' && this.isRunUnexplained(outcome, runs),
      ),
      cut: count(outcome => outcome.status === 0),
      mixed: count(outcome => outcome.mixed),
    };
  }

  /**
   * Returns whether a target executed the request and no other attempt with its id explains that.
   */
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

/** Returns the request id, the last segment of a path. */
export function requestIdOf(path: string): string {
  return path.slice(path.lastIndexOf('/') + 1);
}

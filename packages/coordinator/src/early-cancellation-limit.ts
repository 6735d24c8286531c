import type {EarlyCancellationName, JobTable} from '@gentiandoor/jobs';
import {callerScope, type Caller} from '@gentiandoor/organisations';

/**
 * Maximum number of early cancellations in the store by callers with the same access; more are not
 * accepted until some have expired.
 */
export const MAXIMUM_EARLY_CANCELLATIONS = 10_000;
/** Maximum number of early cancellations in the store, which every daemon holds in memory. */
export const MAXIMUM_EARLY_CANCELLATIONS_IN_ALL = 20_000;

/**
 * Limits the early cancellations that are kept in the store.
 * Load: a stream of cancellations of unknown ids, which would fill the store and the memory of all
 * daemons.
 */
export class EarlyCancellationLimit {
  /** Number of those that are being stored, by the scope of their callers. */
  private readonly underWay = new Map<string, number>();
  private totalUnderWay = 0;

  constructor(private readonly table: JobTable) {}

  /** Returns whether one more may be stored; one that is stored already may be stored again. */
  admits(name: EarlyCancellationName, caller: Caller): boolean {
    if (this.table.hasEarlyCancellation(name)) return true;
    const count =
      this.table.earlyCancellationCount(caller) +
      (this.underWay.get(callerScope(caller)) ?? 0);
    const total = this.table.earlyCancellationTotal + this.totalUnderWay;
    return (
      count < MAXIMUM_EARLY_CANCELLATIONS &&
      total < MAXIMUM_EARLY_CANCELLATIONS_IN_ALL
    );
  }

  /** Counts one by `caller` as under way until `stored` has settled. */
  async during<Result>(
    caller: Caller,
    stored: Promise<Result>,
  ): Promise<Result> {
    this.count(caller, 1);
    try {
      return await stored;
    } finally {
      this.count(caller, -1);
    }
  }

  private count(caller: Caller, change: number): void {
    const scope = callerScope(caller);
    const count = (this.underWay.get(scope) ?? 0) + change;
    if (count > 0) this.underWay.set(scope, count);
    else this.underWay.delete(scope);
    this.totalUnderWay += change;
  }
}

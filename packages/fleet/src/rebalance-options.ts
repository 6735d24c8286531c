/** Limits of rebalancing, in milliseconds. */
export interface RebalanceOptions {
  /** How long a shortage must last, with equal weights, before a VM is lent. */
  readonly lendAfterMilliseconds: number;
  /** How long a shortage must last if a budget is already broken. */
  readonly brokenAfterMilliseconds: number;
  /**
   * A lent VM returns after its old pool has had a shortage, or its new pool a surplus, for this
   * long.
   */
  readonly giveBackAfterMilliseconds: number;
  /** Ordinary failures per VM and day: 210 of 31,000. */
  readonly failuresPerVmDay: number;
  /** Mean time until a failed VM returns, in days. */
  readonly repairDays: number;
}

/** Most VMs that fail are back within minutes; a move only pays off for those that are not. */
export const REBALANCE_DEFAULTS: RebalanceOptions = {
  lendAfterMilliseconds: 300_000,
  brokenAfterMilliseconds: 10_000,
  giveBackAfterMilliseconds: 1_800_000,
  failuresPerVmDay: 210 / 31_000,
  repairDays: 1 / 24,
};

/** Bounds of rebalancing, in milliseconds. */
export interface RebalanceOptions {
  /** A shortage must last this long at equal weights before a VM is lent. */
  readonly lendAfterMilliseconds: number;
  /** The same for a budget that is broken already. */
  readonly brokenAfterMilliseconds: number;
  /** A lent VM goes back when its old pool has been short, or the new one rich, for this long. */
  readonly giveBackAfterMilliseconds: number;
  /** Ordinary failures of one VM in a day: 210 of 31,000. */
  readonly failuresPerVmDay: number;
  /** Mean time until a failed VM is back, in days. */
  readonly repairDays: number;
}

/** Most VMs that fail are back within minutes; a move is only worth it for those that are not. */
export const REBALANCE_DEFAULTS: RebalanceOptions = {
  lendAfterMilliseconds: 300_000,
  brokenAfterMilliseconds: 10_000,
  giveBackAfterMilliseconds: 1_800_000,
  failuresPerVmDay: 210 / 31_000,
  repairDays: 1 / 24,
};

/** Why a worker is given no new starts. */
export enum StartBlock {
  Closed = 'closed',
  NoEntry = 'no_entry',
  InvalidEntry = 'invalid_entry',
  /** No work is placed on workers of its service. */
  ServiceNotUsed = 'service_not_used',
  /** It has not responded to this term yet. */
  NotPolled = 'not_polled',
  Silent = 'silent',
  Cordoned = 'cordoned',
  Draining = 'draining',
  /** It does not enforce its capacity, and its entry may be out of date. */
  CapacityUnknown = 'capacity_unknown',
  /** It does not enforce its capacity, and runs that nobody expects take some of it. */
  UnexpectedRuns = 'unexpected_runs',
}

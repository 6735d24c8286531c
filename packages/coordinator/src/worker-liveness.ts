import {LogEvent, type Clock, type Logger} from '@gentiandoor/kernel';
import {LeaseClock, worstCaseLeaseMilliseconds} from '@gentiandoor/scheduling';
import {carryMilliseconds} from './carried-runs.js';

/** What worker liveness needs from the coordinator. */
export interface LivenessHost {
  /** Duration of the leases that polls and starts grant, in milliseconds. */
  readonly leaseMilliseconds: number;
  /** Longest lease that a worker accepts, in milliseconds. */
  readonly maximumLeaseMilliseconds: number;
  /** When this coordinator's term began. */
  readonly termStartedAt: number;
}

/** Workers that responded this recently are not probed. */
const RECENT_ANSWER_MILLISECONDS = 100;
/** Allowance for local processing delays. */
const LEASE_SLACK_MILLISECONDS = 300;

/** Tracks whether a worker responds, and until when the runs on it may be alive. */
export class WorkerLiveness {
  private readonly lease = new LeaseClock();
  private silentSince: number | undefined;
  private answeredAt = -Infinity;
  /** When the latest order was sent that granted a lease. */
  private grantedAt = -Infinity;

  constructor(
    private readonly worker: string,
    private readonly host: LivenessHost,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  /** Time since which the worker has not responded; undefined while it responds. */
  get silentFrom(): number | undefined {
    return this.silentSince;
  }

  get isSilent(): boolean {
    return this.silentSince !== undefined;
  }

  /** Returns whether the worker responded at `since` or later. */
  hasAnsweredSince(since: number): boolean {
    return this.answeredAt >= since;
  }

  /** Returns whether a probe would provide no new information. */
  isProbeRedundant(now: number): boolean {
    return this.isSilent || now - this.answeredAt < RECENT_ANSWER_MILLISECONDS;
  }

  /**
   * Records a response with the time on the worker's clock; returns true if the worker
   * had been silent.
   */
  noteAnswer(clockMilliseconds: number): boolean {
    const now = this.clock.monotonicMilliseconds();
    this.lease.observe(clockMilliseconds, now);
    this.answeredAt = now;
    if (this.silentSince === undefined) return false;
    this.logger.info(LogEvent.WorkerBack, {
      worker: this.worker,
      silentMilliseconds: now - this.silentSince,
    });
    this.silentSince = undefined;
    return true;
  }

  /** Records a call without a response; returns true if it is the first one. */
  noteSilence(runs: number): boolean {
    if (this.silentSince !== undefined) return false;
    this.silentSince = this.clock.monotonicMilliseconds();
    this.logger.warn(LogEvent.WorkerSilent, {worker: this.worker, runs});
    return true;
  }

  /** Grants a lease with an order sent now; returns its end on the worker's clock. */
  grantLease(now: number): number {
    const leaseEnd = this.lease.leaseEnd(now, this.host.leaseMilliseconds);
    this.lease.recordGrant(leaseEnd);
    this.grantedAt = now;
    return leaseEnd;
  }

  /** Grants a lease with a poll; returns undefined if the poll must grant none. */
  leaseForPoll(now: number): number | undefined {
    // If polls kept offering a lease to a silent worker, it could never be known to have
    // expired.
    if (!this.lease.isKnown || this.isSilent) return undefined;
    return this.grantLease(now);
  }

  /**
   * Accounts for a lease, as long as ours, that the previous coordinator may have granted
   * just before its term ended.
   */
  notePredecessorLease(): void {
    this.grantLease(this.clock.monotonicMilliseconds());
  }

  /**
   * Accounts for the lease of an order to the worker's former incarnation that this one
   * executed: its end lies on the former clock, so the worker took the longest lease.
   */
  noteFormerLease(maximumLeaseMilliseconds: number): void {
    const now = this.clock.monotonicMilliseconds();
    this.lease.recordGrant(this.lease.leaseEnd(now, maximumLeaseMilliseconds));
    this.grantedAt = now;
  }

  /** Returns whether no run that was ever started on the worker can be alive. */
  isLeaseOver(now: number): boolean {
    if (this.lease.isKnown)
      return this.lease.hasLapsed(now) || this.isLongestLeaseOver(now);
    const latestLeaseEnd =
      this.host.termStartedAt +
      worstCaseLeaseMilliseconds(this.host.leaseMilliseconds) +
      LEASE_SLACK_MILLISECONDS;
    return now > latestLeaseEnd;
  }

  /**
   * Returns whether even the longest lease of the latest order is over, by this daemon's own clock:
   * the worker's may have jumped, and with it the end of the lease.
   */
  private isLongestLeaseOver(now: number): boolean {
    const sentBy = Math.max(this.grantedAt, this.silentSince ?? now);
    return now > sentBy + carryMilliseconds(this.host);
  }
}

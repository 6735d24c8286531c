import {LogEvent, type Clock, type Logger} from '@gentiandoor/kernel';
import {LeaseClock, worstCaseLeaseMilliseconds} from '@gentiandoor/scheduling';

/** What is told of a worker's presence. */
export interface LivenessHost {
  /** Lease that polls and starts give, in milliseconds. */
  readonly leaseMilliseconds: number;
  /** When this coordinator's term began. */
  readonly termStartedAt: number;
}

/** Workers that have answered this recently are not probed. */
const RECENT_ANSWER_MILLISECONDS = 100;
/** Allowance for local processing delays. */
const LEASE_SLACK_MILLISECONDS = 300;

/** Whether a worker answers, and until when what runs on it may be alive. */
export class WorkerLiveness {
  private readonly lease = new LeaseClock();
  private silentSince: number | undefined;
  private answeredAt = -Infinity;

  constructor(
    private readonly worker: string,
    private readonly host: LivenessHost,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  /** Since when the worker does not answer; undefined while it does. */
  get silentFrom(): number | undefined {
    return this.silentSince;
  }

  get isSilent(): boolean {
    return this.silentSince !== undefined;
  }

  /** Whether it answered at `since` or later. */
  hasAnsweredSince(since: number): boolean {
    return this.answeredAt >= since;
  }

  /** Whether a probe would tell nothing new. */
  isProbeRedundant(now: number): boolean {
    return this.isSilent || now - this.answeredAt < RECENT_ANSWER_MILLISECONDS;
  }

  /** Notes an answer with what the worker's clock showed; true when it had been silent. */
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

  /** Notes that a call got no answer; true when it is the first one. */
  noteSilence(runs: number): boolean {
    if (this.silentSince !== undefined) return false;
    this.silentSince = this.clock.monotonicMilliseconds();
    this.logger.warn(LogEvent.WorkerSilent, {worker: this.worker, runs});
    return true;
  }

  /** End of a lease that an order of now gives, on the worker's clock. */
  grantLease(now: number): number {
    const leaseEnd = this.lease.leaseEnd(now, this.host.leaseMilliseconds);
    this.lease.recordGrant(leaseEnd);
    return leaseEnd;
  }

  /** The same for a poll; undefined where it must give none. */
  leaseForPoll(now: number): number | undefined {
    // A lease that goes on being offered to a silent worker would never be known to be over.
    if (!this.lease.isKnown || this.isSilent) return undefined;
    return this.grantLease(now);
  }

  /** The coordinator before may have given a lease as long as ours just before its term ended. */
  notePredecessorLease(): void {
    this.grantLease(this.clock.monotonicMilliseconds());
  }

  /** Whether nothing that was ever started on the worker can be alive. */
  isLeaseOver(now: number): boolean {
    if (this.lease.isKnown) return this.lease.hasLapsed(now);
    const bound =
      this.host.termStartedAt +
      worstCaseLeaseMilliseconds(this.host.leaseMilliseconds) +
      LEASE_SLACK_MILLISECONDS;
    return now > bound;
  }
}

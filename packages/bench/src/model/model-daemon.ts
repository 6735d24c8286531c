import type {RandomSource} from '@gentiandoor/kernel';
import {
  OutcomeKind,
  PeerAwareLimiter,
  NoTeamQuota,
  RetryDecision,
  SharedTeamQuota,
  WorkLength,
  createStandardPool,
  type PeerUsageByKey,
  type PoolSlot,
  type RetryPolicy,
  type SlotPool,
  type TeamPolicy,
} from '@gentiandoor/decisions';
import type {EventClock} from './event-clock.js';
import type {ModelTarget} from './model-target.js';
import type {Policy} from './policies.js';
import type {RequestStatistics} from './request-statistics.js';

/** One-way latency between a daemon and a target, and between daemons. */
export const ONE_WAY_MILLISECONDS = 0.5;

const SUMMARY_EXPIRY_MILLISECONDS = 1000;

/** One-way latency to a target in another data centre, 1 ms more than within one. */
const CROSS_DATA_CENTRE_ONE_WAY_MILLISECONDS = 1.5;
/** Time after which a connection across a partition fails. */
const CONNECT_MILLISECONDS = 500;

/** A simulated request. */
export interface ModelRequest {
  readonly statistics: RequestStatistics;
  readonly startedAt: number;
  readonly service: string;
  readonly work: WorkLength;
  readonly milliseconds: number;
  readonly idempotent: boolean;
  readonly caller: string;
  readonly team: TeamPolicy;
  readonly waitMilliseconds: number;
  /** Time after which the caller gives up. */
  readonly callerTimeoutMilliseconds: number;
  readonly queueLimit: number;
}

/** Dependencies and parameters of a simulated daemon. */
export interface ModelDaemonOptions {
  readonly clock: EventClock;
  readonly random: RandomSource;
  readonly name: string;
  readonly daemons: number;
  readonly dataCentre: number;
  readonly policy: Policy;
  readonly targets: ReadonlyMap<string, ModelTarget>;
  readonly onWaitingStarted: () => void;
  readonly onEjectionStateChange: () => void;
  /** Called with the milliseconds of work of a response that arrived in time. */
  readonly onUseful: (milliseconds: number) => void;
}

/** An attempt of a request; `tried` holds the targets of earlier ones. */
interface Attempt {
  readonly number: number;
  readonly tried: ReadonlySet<string>;
}

/** A daemon with the production decisions on a simulated network. */
export class ModelDaemon {
  readonly pool: SlotPool;
  /** Data centre that is partitioned from all others. */
  isolatedDataCentre: number | undefined;
  /** Number of exchanges with targets in other data centres. */
  crossDataCentreExchanges = 0;
  /** Number of busy responses from targets. */
  busyAnswers = 0;
  private readonly retries: RetryPolicy;
  private readonly quotaShare: PeerAwareLimiter;
  private readonly quota: SharedTeamQuota;

  constructor(private readonly options: ModelDaemonOptions) {
    const {clock, random, name, policy, daemons} = options;
    this.retries = policy.retries(clock);
    this.quotaShare = new PeerAwareLimiter(clock, name, 0);
    this.quota = new SharedTeamQuota(this.quotaShare);
    this.pool = createStandardPool({
      clock,
      random,
      incarnation: name,
      quota: policy.hasQuotas ? this.quota : new NoTeamQuota(),
      onSpill: () => {},
      onWaitingStarted: options.onWaitingStarted,
      onEjectionStateChange: options.onEjectionStateChange,
      overrides: policy.overrides(clock, random, daemons),
    });
  }

  get dataCentre(): number {
    return this.options.dataCentre;
  }

  /** Starts the first attempt of a new request. */
  submit(request: ModelRequest): void {
    this.retries.onFirstAttempt();
    this.attempt(request, {number: 1, tried: new Set()});
  }

  /** Returns the usage by team that this daemon sends to its peers. */
  teamUsage(): PeerUsageByKey {
    const uses = [...this.quota.usage()].map(
      ([team, inFlight]) => [team, {inFlight, waiting: false}] as const,
    );
    return new Map(uses);
  }

  onPeer(peer: string, targets: PeerUsageByKey, teams: PeerUsageByKey): void {
    this.quotaShare.onPeerUsage(peer, teams, SUMMARY_EXPIRY_MILLISECONDS);
    this.pool.onPeerUsage(peer, targets, SUMMARY_EXPIRY_MILLISECONDS);
  }

  private attempt(request: ModelRequest, attempt: Attempt): void {
    const now = this.options.clock.monotonicMilliseconds();
    this.pool.acquire({
      service: request.service,
      queueLimit: request.queueLimit,
      work: request.work,
      team: request.team,
      caller: request.caller,
      idempotent: request.idempotent,
      tried: attempt.tried,
      enqueuedAt: now,
      deadline: request.startedAt + request.waitMilliseconds,
      grant: slot => this.send(request, attempt, slot),
      refuse: ({reason, isQuotaExhausted}) => {
        const text = isQuotaExhausted ? 'quota' : (reason ?? 'no_target');
        request.statistics.recordRefusal(text, this.ageOf(request));
      },
    });
  }

  private send(request: ModelRequest, attempt: Attempt, slot: PoolSlot): void {
    const {clock, targets} = this.options;
    const sentAt = clock.monotonicMilliseconds();
    const target = targets.get(slot.target.id);
    if (!target) throw new Error(`no target ${slot.target.id}`);
    const isOtherDataCentre = target.dataCentre !== this.dataCentre;
    if (isOtherDataCentre) this.crossDataCentreExchanges++;
    const oneWayMilliseconds = isOtherDataCentre
      ? CROSS_DATA_CENTRE_ONE_WAY_MILLISECONDS
      : ONE_WAY_MILLISECONDS;
    const end = (kind: OutcomeKind) => {
      const latencyMilliseconds = clock.monotonicMilliseconds() - sentAt;
      slot.report({kind, latencyMilliseconds, leaving: false});
      slot.release();
      this.onEnd(request, attempt, target.routable.id, kind);
    };
    if (this.isPartitionedFrom(target)) {
      clock.schedule(CONNECT_MILLISECONDS, () => end(OutcomeKind.Unreachable));
      return;
    }
    clock.schedule(oneWayMilliseconds, () =>
      target.begin(request, kind =>
        clock.schedule(oneWayMilliseconds, () => end(kind)),
      ),
    );
  }

  private isPartitionedFrom({dataCentre}: ModelTarget): boolean {
    if (this.isolatedDataCentre === undefined) return false;
    return (
      (dataCentre === this.isolatedDataCentre) !==
      (this.dataCentre === this.isolatedDataCentre)
    );
  }

  private onEnd(
    request: ModelRequest,
    {number, tried}: Attempt,
    target: string,
    kind: OutcomeKind,
  ): void {
    const {statistics} = request;
    if (kind === OutcomeKind.Succeeded) {
      this.onResponse(request);
      return;
    }
    if (kind === OutcomeKind.Busy) this.busyAnswers++;
    const decision = this.retries.decide({
      kind,
      sent: kind === OutcomeKind.ServerError,
      idempotent: request.idempotent,
      attempts: number,
    });
    if (decision === RetryDecision.Retry) {
      statistics.recordRetry(kind);
      this.attempt(request, {
        number: number + 1,
        tried: new Set([...tried, target]),
      });
    } else if (kind === OutcomeKind.Busy) {
      statistics.recordRefusal(kind, this.ageOf(request));
    } else {
      statistics.failed++;
    }
  }

  private onResponse(request: ModelRequest): void {
    const {statistics} = request;
    const age = this.ageOf(request);
    if (age > request.callerTimeoutMilliseconds) {
      statistics.late++;
      return;
    }
    statistics.answered++;
    statistics.usefulWork += request.milliseconds;
    this.options.onUseful(request.milliseconds);
    statistics.recordLatency(age);
  }

  private ageOf(request: ModelRequest): number {
    return this.options.clock.monotonicMilliseconds() - request.startedAt;
  }
}

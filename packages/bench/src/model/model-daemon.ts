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

/** One-way time between daemon and target, and between daemons. */
export const ONE_WAY_MILLISECONDS = 0.5;

const SUMMARY_EXPIRY_MILLISECONDS = 1000;

/** The same to another data centre: 1 ms between them. */
const CROSS_DATA_CENTRE_ONE_WAY_MILLISECONDS = 1.5;
/** A connection over a cut path fails after this long. */
const CONNECT_MILLISECONDS = 500;

/** A request of the model. */
export interface ModelRequest {
  readonly tally: RequestStatistics;
  readonly startedAt: number;
  readonly service: string;
  readonly work: WorkLength;
  readonly milliseconds: number;
  readonly idempotent: boolean;
  readonly caller: string;
  readonly team: TeamPolicy;
  readonly waitMilliseconds: number;
  /** From the request to the moment when its caller gives up. */
  readonly callerTimeoutMilliseconds: number;
  readonly queueLimit: number;
}

/** What a daemon of the model needs. */
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
  /** An answer came in time: milliseconds of its work. */
  readonly onUseful: (milliseconds: number) => void;
}

/** One of a request's attempts. */
interface Attempt {
  readonly number: number;
  readonly tried: ReadonlySet<string>;
}

/** A daemon with the real decisions and no network. */
export class ModelDaemon {
  readonly pool: SlotPool;
  /** Data centre that is cut off from all others. */
  isolatedDataCentre: number | undefined;
  /** Exchanges with targets in other data centres. */
  crossDataCentreExchanges = 0;
  /** Busy answers met. */
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

  /** Takes a new request. */
  submit(request: ModelRequest): void {
    this.retries.onFirstAttempt();
    this.attempt(request, {number: 1, tried: new Set()});
  }

  /** What this daemon uses, for its peers. */
  teamUses(): PeerUsageByKey {
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
      refuse: ({reason, isQuotaExhausted: quotaHeld}) => {
        const text = quotaHeld ? 'quota' : (reason ?? 'no_target');
        request.tally.recordRefusal(text, this.age(request));
      },
    });
  }

  private send(request: ModelRequest, attempt: Attempt, slot: PoolSlot): void {
    const {clock, targets} = this.options;
    const sentAt = clock.monotonicMilliseconds();
    const target = targets.get(slot.target.id);
    if (!target) throw new Error(`no target ${slot.target.id}`);
    const isFar = target.dataCentre !== this.dataCentre;
    if (isFar) this.crossDataCentreExchanges++;
    const way = isFar
      ? CROSS_DATA_CENTRE_ONE_WAY_MILLISECONDS
      : ONE_WAY_MILLISECONDS;
    const end = (kind: OutcomeKind) => {
      const latencyMilliseconds = clock.monotonicMilliseconds() - sentAt;
      slot.report({kind, latencyMilliseconds, leaving: false});
      slot.release();
      this.onEnd(request, attempt, target.routable.id, kind);
    };
    if (this.isCutFrom(target)) {
      clock.schedule(CONNECT_MILLISECONDS, () => end(OutcomeKind.Unreachable));
      return;
    }
    clock.schedule(way, () =>
      target.begin(request, kind => clock.schedule(way, () => end(kind))),
    );
  }

  private isCutFrom({dataCentre}: ModelTarget): boolean {
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
    const {tally} = request;
    if (kind === OutcomeKind.Succeeded) {
      this.onAnswer(request);
      return;
    }
    if (kind === OutcomeKind.Busy) this.busyAnswers++;
    const verdict = this.retries.decide({
      kind,
      sent: kind === OutcomeKind.ServerError,
      idempotent: request.idempotent,
      attempts: number,
    });
    if (verdict === RetryDecision.Retry) {
      tally.recordRetry(kind);
      this.attempt(request, {
        number: number + 1,
        tried: new Set([...tried, target]),
      });
    } else if (kind === OutcomeKind.Busy) {
      tally.recordRefusal(kind, this.age(request));
    } else {
      tally.failed++;
    }
  }

  private onAnswer(request: ModelRequest): void {
    const {tally} = request;
    const age = this.age(request);
    if (age > request.callerTimeoutMilliseconds) {
      tally.late++;
      return;
    }
    tally.answered++;
    tally.usefulWork += request.milliseconds;
    this.options.onUseful(request.milliseconds);
    tally.recordLatency(age);
  }

  private age(request: ModelRequest): number {
    return this.options.clock.monotonicMilliseconds() - request.startedAt;
  }
}

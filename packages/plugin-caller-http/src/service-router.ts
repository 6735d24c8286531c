import {
  ErrorKind,
  MetricName,
  RequestError,
  type TargetAddress,
} from '@gentiandoor/kernel';
import {
  PeerShare,
  RetryBudget,
  RetryVerdict,
  SharedTeamQuota,
  WorkLength,
  type PoolSlot,
  type RetryQuestion,
  type TargetOutcome,
  type TeamTerms,
} from '@gentiandoor/decisions';
import {
  WorkClass,
  type Bundle,
  type PeerLinks,
  type ServiceEntry,
} from '@gentiandoor/shared-state';
import {LoadSummaries} from './load-summaries.js';
import {PendingAsk, RoutedSlot, type AskTerms} from './pending-ask.js';
import {VmExchanges} from './vm-exchanges.js';
import {PoolTable, type PoolTableDependencies} from './pool-table.js';

/** A request that asks for a target. */
export interface AcquireRequest {
  readonly service: string;
  /** Authenticated caller; undefined for one that the bundle does not name. */
  readonly caller?: string;
  /** Team of the authenticated caller; the caller's own in the bundle when undefined. */
  readonly team?: string;
  readonly idempotent?: boolean;
  /** Ids of targets that failed this request already; they are chosen only when no other is left. */
  readonly tried?: ReadonlySet<string>;
  /** Monotonic milliseconds; the service's longest wait counts as well. */
  readonly deadline?: number;
  /** Aborts when the caller is gone: the place in the queue is given up and `CallerGone` thrown. */
  readonly signal?: AbortSignal;
}

/**
 * A target with a slot held for one exchange.
 * Use: `acquire`, then directly before the first byte `isRoutable`, then the exchange, then
 * `report` once with what it showed, then `release`.
 */
export interface HeldSlot extends TargetAddress {
  /**
   * Whether the target may still get new work. Asked directly before the first byte goes out: the
   * list or a drain may have changed since the choice. When false: `release` and `acquire` again.
   */
  isRoutable(): boolean;
  /** What the exchange showed; feeds choice, ejection and slot share. Once an exchange. */
  report(outcome: TargetOutcome): void;
  /** Gives the slot back; a second call does nothing. */
  release(): void;
}

/** What the router needs. */
export interface ServiceRouterDependencies extends PoolTableDependencies {
  readonly peerLinks: PeerLinks;
}

const WORK_OF_CLASS: Readonly<Record<WorkClass, WorkLength>> = {
  [WorkClass.Short]: WorkLength.Short,
  [WorkClass.Long]: WorkLength.Long,
};
/** All callers that the bundle does not name are one team and one caller together. */
const UNNAMED_TEAM: TeamTerms = {
  name: '',
  weight: 1,
  slots: Number.MAX_SAFE_INTEGER,
  urgent: false,
};
const UNNAMED_CALLER = '';
/** A quota of less than one slot a daemon leaves some daemons none. */
const SMALLEST_QUOTA_PART = 0;

/** Finds a target with a free slot for a request, or makes the request wait. */
export class ServiceRouter {
  private readonly pools: PoolTable;
  private readonly summaries: LoadSummaries;
  private readonly retries = new Map<string, RetryBudget>();
  private readonly exchanges = new VmExchanges();
  /** Exchanges in flight by service. */
  private readonly inFlight = new Map<string, number>();

  constructor(private readonly dependencies: ServiceRouterDependencies) {
    const {clock, identity, peerLinks} = dependencies;
    const self = identity.incarnation;
    const quotaShare = new PeerShare(clock, self, SMALLEST_QUOTA_PART);
    const quota = new SharedTeamQuota(quotaShare);
    this.pools = new PoolTable(dependencies, quota, () =>
      this.summaries.hurry(),
    );
    this.summaries = new LoadSummaries(
      clock,
      peerLinks,
      this.pools,
      quota,
      quotaShare,
      () => this.writeGauges(),
    );
  }

  /** The service's entry in the bundle in force; throws `RequestError`. */
  service(name: string): ServiceEntry {
    const service = this.bundle().services[name];
    if (!service)
      throw new RequestError(ErrorKind.UnknownService, `no service ${name}`);
    return service;
  }

  /**
   * Whether a failed attempt may go to another target; counts the retry. On `Retry` call `acquire`
   * again with the failed target in `tried`.
   */
  judgeRetry(service: string, question: RetryQuestion): RetryVerdict {
    const {metrics} = this.dependencies;
    const verdict = this.retriesOf(service).judge(question);
    if (verdict === RetryVerdict.Retry) {
      metrics.increment(MetricName.Retries, {reason: question.kind});
    } else {
      metrics.increment(MetricName.RetriesDenied, {reason: verdict});
    }
    return verdict;
  }

  /** Resolves with a slot, or rejects with the `RequestError` that turned the request away. */
  acquire(request: AcquireRequest): Promise<HeldSlot> {
    const service = this.service(request.service);
    const pool = this.pools.use(service.pool);
    if (!request.tried) this.retriesOf(request.service).onFirstAttempt();
    this.summaries.wake();
    return new Promise((resolve, reject) => {
      const ask = new PendingAsk(
        this.termsOf(request, service),
        slot => resolve(this.hold(request.service, slot)),
        reject,
      );
      pool.acquire(ask);
      if (ask.isWaiting) ask.cancelOn(request.signal, pool);
    });
  }

  private termsOf(request: AcquireRequest, service: ServiceEntry): AskTerms {
    const now = this.dependencies.clock.monotonicMilliseconds();
    const latest = now + service.waitMilliseconds;
    return {
      service: request.service,
      queueLimit: service.queueLimit,
      work: WORK_OF_CLASS[service.workClass],
      team: this.teamOf(request),
      caller: request.caller ?? UNNAMED_CALLER,
      idempotent: request.idempotent ?? false,
      tried: request.tried,
      enteredAt: now,
      deadline: Math.min(latest, request.deadline ?? latest),
    };
  }

  private teamOf({caller, team}: AcquireRequest): TeamTerms {
    const {callers, teams} = this.bundle();
    const name = team ?? callers[caller ?? UNNAMED_CALLER]?.team;
    const entry = name === undefined ? undefined : teams[name];
    return name === undefined || !entry ? UNNAMED_TEAM : {name, ...entry};
  }

  private hold(service: string, slot: PoolSlot): HeldSlot {
    const vm = slot.target.id;
    this.inFlight.set(service, (this.inFlight.get(service) ?? 0) + 1);
    this.exchanges.begin(vm);
    return new RoutedSlot(slot, () => {
      this.inFlight.set(service, (this.inFlight.get(service) ?? 1) - 1);
      this.exchanges.end(vm);
    });
  }

  /** Whether a pool has the VM among its targets, or an exchange is in flight there. */
  isRouting(vm: string): boolean {
    if (this.exchanges.of(vm) > 0) return true;
    return [...this.pools.all()].some(([, pool]) => pool.has(vm));
  }

  /** VMs that get no work because of their failures. */
  ejectedVms(): string[] {
    return [...this.pools.all()].flatMap(([, pool]) => pool.ejected());
  }

  private retriesOf(service: string): RetryBudget {
    const known = this.retries.get(service);
    if (known) return known;
    const budget = new RetryBudget(this.dependencies.clock);
    this.retries.set(service, budget);
    return budget;
  }

  private bundle(): Bundle {
    const {inForce} = this.dependencies.sharedState.state;
    if (!inForce)
      throw new RequestError(ErrorKind.NoBundle, 'no bundle in force');
    return inForce.bundle;
  }

  private writeGauges(): void {
    const {metrics, sharedState} = this.dependencies;
    const services = sharedState.state.inForce?.bundle.services ?? {};
    for (const [service, inFlight] of this.inFlight) {
      const pool = this.pools.get(services[service]?.pool ?? '');
      const waiting = pool?.waitingOf(service) ?? 0;
      metrics.gauge(MetricName.InFlight, inFlight, {service});
      metrics.gauge(MetricName.QueueLength, waiting, {service});
    }
  }
}

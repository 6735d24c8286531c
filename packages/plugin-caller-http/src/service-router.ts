import {
  ErrorKind,
  MetricName,
  RequestError,
  type TargetAddress,
} from '@gentiandoor/kernel';
import {
  PeerAwareLimiter,
  RetryBudget,
  RetryDecision,
  SharedTeamQuota,
  WorkLength,
  type PoolSlot,
  type FailedAttempt,
  type TargetOutcome,
  type TeamPolicy,
} from '@gentiandoor/decisions';
import {
  WorkClass,
  type Bundle,
  type PeerLinks,
  type ServiceEntry,
} from '@gentiandoor/shared-state';
import {LoadSummaryBroadcaster} from './load-summary-broadcaster.js';
import {
  PendingSlotRequest,
  RoutedSlot,
  type SlotRequestFields,
} from './pending-slot-request.js';
import {VmExchangeCounter} from './vm-exchange-counter.js';
import {PoolTable, type PoolTableDependencies} from './pool-table.js';

/** A request that needs a target. */
export interface AcquireRequest {
  readonly service: string;
  /** Authenticated caller; undefined for one that the bundle does not name. */
  readonly caller?: string;
  /** Team of the authenticated caller; when undefined, the team that the bundle gives the caller. */
  readonly team?: string;
  readonly idempotent?: boolean;
  /** Ids of targets that already failed this request; chosen only when no other is left. */
  readonly tried?: ReadonlySet<string>;
  /** Monotonic milliseconds; the service's maximum wait applies as well. */
  readonly deadline?: number;
  /** Aborts when the caller disconnects: the request leaves the queue with `CallerGone`. */
  readonly signal?: AbortSignal;
}

/**
 * A target with a slot held for one exchange.
 * Usage: `acquire`, check `isRoutable` directly before the first byte, run the exchange, `report`
 * its outcome once, then `release`.
 */
export interface HeldSlot extends TargetAddress {
  /**
   * Returns whether the target may still get new work. To be checked directly before the first
   * byte is sent: the VM list or a drain may have changed since the target was chosen. When false,
   * `release` and `acquire` again.
   */
  isRoutable(): boolean;
  /** Reports the exchange's outcome, once: target choice, ejection and slot share depend on it. */
  report(outcome: TargetOutcome): void;
  /** Releases the slot; a second call does nothing. */
  release(): void;
}

/** Services that `ServiceRouter` depends on. */
export interface ServiceRouterDependencies extends PoolTableDependencies {
  readonly peerLinks: PeerLinks;
}

const WORK_LENGTH_BY_CLASS: Readonly<Record<WorkClass, WorkLength>> = {
  [WorkClass.Short]: WorkLength.Short,
  [WorkClass.Long]: WorkLength.Long,
};
/** All callers that the bundle does not name share one team and one caller name. */
const ANONYMOUS_TEAM: TeamPolicy = {
  name: '',
  weight: 1,
  slots: Number.MAX_SAFE_INTEGER,
  urgent: false,
};
const ANONYMOUS_CALLER = '';
/** A quota of less than one slot per daemon leaves some daemons without any. */
const MINIMUM_QUOTA_SLOTS = 0;

/** Finds a target with a free slot for a request, or queues the request. */
export class ServiceRouter {
  private readonly pools: PoolTable;
  private readonly loadSummaryBroadcaster: LoadSummaryBroadcaster;
  private readonly retryBudgets = new Map<string, RetryBudget>();
  private readonly exchangesByVm = new VmExchangeCounter();
  /** Exchanges in flight by service, for the gauges. */
  private readonly inFlightByService = new Map<string, number>();

  constructor(private readonly dependencies: ServiceRouterDependencies) {
    const {clock, identity, peerLinks} = dependencies;
    const incarnation = identity.incarnation;
    const quotaLimiter = new PeerAwareLimiter(
      clock,
      incarnation,
      MINIMUM_QUOTA_SLOTS,
    );
    const quota = new SharedTeamQuota(quotaLimiter);
    this.pools = new PoolTable(dependencies, quota, () =>
      this.loadSummaryBroadcaster.sendEarly(),
    );
    this.loadSummaryBroadcaster = new LoadSummaryBroadcaster(
      clock,
      peerLinks,
      this.pools,
      quota,
      quotaLimiter,
      () => this.writeGauges(),
    );
  }

  /** Returns the service's entry in the bundle in force; throws `RequestError` without one. */
  service(name: string): ServiceEntry {
    const service = this.bundle().services[name];
    if (!service)
      throw new RequestError(
        ErrorKind.UnknownService,
        `the bundle in force has no service ${name}`,
      );
    return service;
  }

  /**
   * Decides whether a failed attempt may be retried on another target, and counts the decision. On
   * `Retry`, call `acquire` again with the failed target in `tried`.
   */
  decideRetry(service: string, failedAttempt: FailedAttempt): RetryDecision {
    const {metrics} = this.dependencies;
    const decision = this.retryBudgetOf(service).decide(failedAttempt);
    if (decision === RetryDecision.Retry) {
      metrics.increment(MetricName.Retries, {reason: failedAttempt.kind});
    } else {
      metrics.increment(MetricName.RetriesDenied, {reason: decision});
    }
    return decision;
  }

  /** Resolves with a slot, or rejects with the `RequestError` that refused the request. */
  acquire(request: AcquireRequest): Promise<HeldSlot> {
    const service = this.service(request.service);
    const pool = this.pools.getOrCreate(service.pool);
    if (!request.tried) this.retryBudgetOf(request.service).onFirstAttempt();
    this.loadSummaryBroadcaster.start();
    return new Promise((resolve, reject) => {
      const pendingRequest = new PendingSlotRequest(
        this.slotRequestFieldsOf(request, service),
        slot => resolve(this.toHeldSlot(request.service, slot)),
        reject,
      );
      pool.acquire(pendingRequest);
      if (pendingRequest.isWaiting)
        pendingRequest.cancelOnAbort(request.signal, pool);
    });
  }

  private slotRequestFieldsOf(
    request: AcquireRequest,
    service: ServiceEntry,
  ): SlotRequestFields {
    const now = this.dependencies.clock.monotonicMilliseconds();
    const latest = now + service.waitMilliseconds;
    return {
      service: request.service,
      queueLimit: service.queueLimit,
      work: WORK_LENGTH_BY_CLASS[service.workClass],
      team: this.teamPolicyOf(request),
      caller: request.caller ?? ANONYMOUS_CALLER,
      idempotent: request.idempotent ?? false,
      tried: request.tried,
      enqueuedAt: now,
      deadline: Math.min(latest, request.deadline ?? latest),
    };
  }

  private teamPolicyOf({caller, team}: AcquireRequest): TeamPolicy {
    const {callers, teams} = this.bundle();
    const name = team ?? callers[caller ?? ANONYMOUS_CALLER]?.team;
    const entry = name === undefined ? undefined : teams[name];
    return name === undefined || !entry ? ANONYMOUS_TEAM : {name, ...entry};
  }

  private toHeldSlot(service: string, slot: PoolSlot): HeldSlot {
    const vm = slot.target.id;
    this.inFlightByService.set(
      service,
      (this.inFlightByService.get(service) ?? 0) + 1,
    );
    this.exchangesByVm.begin(vm);
    return new RoutedSlot(slot, () => {
      this.inFlightByService.set(
        service,
        (this.inFlightByService.get(service) ?? 1) - 1,
      );
      this.exchangesByVm.end(vm);
    });
  }

  /** Returns whether a pool has the VM among its targets, or an exchange with it is in flight. */
  isRouting(vm: string): boolean {
    if (this.exchangesByVm.countOf(vm) > 0) return true;
    return [...this.pools.entries()].some(([, pool]) => pool.has(vm));
  }

  /** Returns the VMs that get no work because of their failures. */
  ejectedVms(): string[] {
    return [...this.pools.entries()].flatMap(([, pool]) =>
      pool.ejectedTargets(),
    );
  }

  private retryBudgetOf(service: string): RetryBudget {
    const existing = this.retryBudgets.get(service);
    if (existing) return existing;
    const budget = new RetryBudget(this.dependencies.clock);
    this.retryBudgets.set(service, budget);
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
    for (const [service, inFlight] of this.inFlightByService) {
      const pool = this.pools.get(services[service]?.pool ?? '');
      const waiting = pool?.waitingForService(service) ?? 0;
      metrics.gauge(MetricName.InFlight, inFlight, {service});
      metrics.gauge(MetricName.QueueLength, waiting, {service});
    }
  }
}

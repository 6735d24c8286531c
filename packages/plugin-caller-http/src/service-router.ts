import {
  ErrorKind,
  MetricName,
  RequestError,
  type Clock,
  type Metrics,
  type RandomSource,
  type TargetAddress,
} from '@gentiandoor/kernel';
import {
  EnterResult,
  FirstInFirstOutQueue,
  RetryBudget,
  RetryVerdict,
  TwoRandomChoices,
  type RetryQuestion,
  type TargetOutcome,
} from '@gentiandoor/decisions';
import {
  ListedState,
  type ServiceEntry,
  type SharedState,
  type VmList,
} from '@gentiandoor/shared-state';

/** A request that asks for a target. */
export interface AcquireRequest {
  readonly service: string;
  /** Authenticated caller; undefined for one that the bundle does not name. */
  readonly caller?: string;
  /** Team of the authenticated caller. */
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

interface WaitingRequest {
  readonly deadline: number;
  readonly grant: (slot: HeldSlot) => void;
  readonly refuse: (error: RequestError) => void;
}

/** What the router needs. */
export interface ServiceRouterDependencies {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly metrics: Metrics;
  readonly sharedState: SharedState;
  readonly vmList: VmList;
}

/** Finds a target with a free slot for a request, or makes the request wait. */
export class ServiceRouter {
  private readonly choice: TwoRandomChoices;
  private readonly retries: RetryBudget;
  private readonly inFlight = new Map<string, number>();
  private readonly queues = new Map<
    string,
    FirstInFirstOutQueue<WaitingRequest>
  >();

  constructor(private readonly dependencies: ServiceRouterDependencies) {
    this.choice = new TwoRandomChoices(dependencies.random);
    this.retries = new RetryBudget(dependencies.clock);
    dependencies.vmList.onChange(() => this.grantAll());
    dependencies.sharedState.onChange(() => this.grantAll());
  }

  /** The service's entry in the bundle in force; throws `RequestError`. */
  service(name: string): ServiceEntry {
    const {inForce} = this.dependencies.sharedState.state;
    if (!inForce)
      throw new RequestError(ErrorKind.NoBundle, 'no bundle in force');
    const service = inForce.bundle.services[name];
    if (!service)
      throw new RequestError(ErrorKind.UnknownService, `no service ${name}`);
    return service;
  }

  /**
   * Whether a failed attempt may go to another target; counts the retry. On `Retry` call `acquire`
   * again with the failed target in `tried`.
   */
  judgeRetry(_service: string, question: RetryQuestion): RetryVerdict {
    const verdict = this.retries.judge(question);
    if (verdict === RetryVerdict.Retry) {
      this.dependencies.metrics.increment(MetricName.Retries, {
        reason: question.kind,
      });
    }
    return verdict;
  }

  /** Resolves with a slot, or rejects with the `RequestError` that turned the request away. */
  acquire(request: AcquireRequest | string): Promise<HeldSlot> {
    const name = typeof request === 'string' ? request : request.service;
    this.retries.onFirstAttempt();
    const service = this.service(name);
    const slot = this.tryTake(service);
    if (slot) return Promise.resolve(slot);
    return this.wait(name, service);
  }

  private wait(name: string, service: ServiceEntry): Promise<HeldSlot> {
    const {clock} = this.dependencies;
    return new Promise((resolve, reject) => {
      const item: WaitingRequest = {
        deadline: clock.monotonicMilliseconds() + service.waitMilliseconds,
        grant: resolve,
        refuse: reject,
      };
      const queue = this.queueOf(name, service);
      if (queue.enter(item) === EnterResult.Full) {
        reject(
          new RequestError(
            ErrorKind.QueueFull,
            `${queue.length} requests wait`,
          ),
        );
        return;
      }
      clock.schedule(service.waitMilliseconds, () => {
        if (!queue.leave(item)) return;
        reject(new RequestError(ErrorKind.QueueTimeout, 'no slot in time'));
      });
    });
  }

  private queueOf(
    name: string,
    service: ServiceEntry,
  ): FirstInFirstOutQueue<WaitingRequest> {
    const queue =
      this.queues.get(name) ?? new FirstInFirstOutQueue(service.queueLimit);
    this.queues.set(name, queue);
    return queue;
  }

  private tryTake(service: ServiceEntry): HeldSlot | undefined {
    const chosen = this.choice.choose(this.targets(service));
    if (!chosen) return undefined;
    this.inFlight.set(chosen.id, chosen.inFlight + 1);
    let released = false;
    const release = () => {
      if (released) return;
      released = true;
      this.inFlight.set(chosen.id, (this.inFlight.get(chosen.id) ?? 1) - 1);
      this.grantAll();
    };
    return {
      id: chosen.id,
      address: chosen.address,
      isRoutable: () => true,
      report: () => {},
      release,
    };
  }

  private targets(service: ServiceEntry) {
    const {sharedState, vmList} = this.dependencies;
    const pool = sharedState.state.inForce?.bundle.pools[service.pool];
    if (!pool) return [];
    const listed = vmList.current();
    return pool.vms.flatMap(id => {
      const vm = sharedState.state.vms.get(id);
      const seen = listed.get(id);
      if (!vm || !seen || vm.pool !== service.pool) return [];
      if (vm.drainReason !== undefined || seen.state === ListedState.Leaving)
        return [];
      return [
        {
          id,
          address: seen.address,
          inFlight: this.inFlight.get(id) ?? 0,
          slots: pool.slots,
        },
      ];
    });
  }

  private grantAll(): void {
    const {clock, sharedState} = this.dependencies;
    for (const [name, queue] of this.queues) {
      const service = sharedState.state.inForce?.bundle.services[name];
      if (!service) continue;
      while (queue.length > 0) {
        const slot = this.tryTake(service);
        if (!slot) break;
        const item = queue.next(clock.monotonicMilliseconds());
        if (item) item.grant(slot);
        else slot.release();
      }
    }
  }
}

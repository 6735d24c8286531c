import type {Clock, Timer} from '@gentiandoor/kernel';
import {
  LeastRecentlyServedOrder,
  placementDelayMilliseconds,
} from '@gentiandoor/scheduling';
import {RoundCause} from './round-cause.js';

/** Longest timer for a step that is due later; limited since the wall clock may jump. */
const MAXIMUM_DUE_TIMER_MILLISECONDS = 1_000;
const RESTRICTION_RETRY_MILLISECONDS = 200;

/** Decides when the services get their placement rounds, and in which order. */
export class PlacementSchedule {
  /** Services that are due, with what caused their rounds. */
  private readonly servicesDue = new Map<string, Set<RoundCause>>();
  /** Services with tasks that wait until fewer orders are in flight. */
  private readonly servicesAwaitingOrders = new Set<string>();
  private readonly serviceOrder = new LeastRecentlyServedOrder();
  /** One timer per service with a job that is due later. */
  private readonly dueTimers = new Map<string, Timer>();
  /** Services with a scheduled retry for tasks that must not start on some worker for now. */
  private readonly restrictionRetries = new Set<string>();
  private scheduled = false;
  private placedAt = -Infinity;
  private placementDelayMilliseconds = 0;
  private closed = false;

  /** `placeService` runs one placement round of a service. */
  constructor(
    private readonly clock: Clock,
    private readonly placeService: (
      service: string,
      causes: ReadonlySet<RoundCause>,
    ) => void,
  ) {}

  /** Schedules a placement round for `service`. */
  request(service: string, cause: RoundCause): void {
    const causes = this.servicesDue.get(service) ?? new Set();
    this.servicesDue.set(service, causes.add(cause));
    if (this.scheduled || this.closed) return;
    this.scheduled = true;
    const elapsedMilliseconds =
      this.clock.monotonicMilliseconds() - this.placedAt;
    if (elapsedMilliseconds >= this.placementDelayMilliseconds)
      setImmediate(() => this.placeDueServices());
    else
      this.clock.schedule(
        this.placementDelayMilliseconds - elapsedMilliseconds,
        () => this.placeDueServices(),
      );
  }

  /** Schedules a round for when fewer orders are in flight. */
  requestAfterOrders(service: string): void {
    this.servicesAwaitingOrders.add(service);
  }

  /** Schedules services that wait for orders in flight, since more of them are allowed. */
  noteOrdersAllowed(): void {
    for (const service of this.servicesAwaitingOrders)
      this.request(service, RoundCause.OrdersAllowed);
    this.servicesAwaitingOrders.clear();
  }

  /** Records that a task of `service` was placed, so that other services go first next time. */
  noteServed(service: string): void {
    this.serviceOrder.recordServed(service);
  }

  /**
   * Schedules a retry for tasks that must not start on some worker for now: isolation, suspicion and
   * avoidance end with time, without an event.
   */
  retryRestricted(service: string): void {
    if (this.restrictionRetries.has(service)) return;
    this.restrictionRetries.add(service);
    this.clock.schedule(RESTRICTION_RETRY_MILLISECONDS, () => {
      this.restrictionRetries.delete(service);
      this.request(service, RoundCause.ConditionLapsed);
    });
  }

  /**
   * Replaces the service's timer for the next job that is due: a timer per round and job would make
   * each busy period cause as many later rounds, forever.
   */
  requestAt(service: string, dueAt: number): void {
    this.dueTimers.get(service)?.cancel();
    this.dueTimers.delete(service);
    if (dueAt === Infinity) return;
    const remainingMilliseconds = dueAt - this.clock.wallMilliseconds();
    const delayMilliseconds = Math.min(
      remainingMilliseconds,
      MAXIMUM_DUE_TIMER_MILLISECONDS,
    );
    const timer = this.clock.schedule(delayMilliseconds, () =>
      this.request(service, RoundCause.JobDue),
    );
    this.dueTimers.set(service, timer);
  }

  close(): void {
    this.closed = true;
    for (const timer of this.dueTimers.values()) timer.cancel();
  }

  private placeDueServices(): void {
    this.scheduled = false;
    if (this.closed) return;
    const startedAt = this.clock.monotonicMilliseconds();
    const due = new Map(this.servicesDue);
    this.servicesDue.clear();
    for (const service of this.serviceOrder.order(due.keys()))
      this.placeService(service, due.get(service) ?? new Set());
    this.placedAt = this.clock.monotonicMilliseconds();
    this.placementDelayMilliseconds = placementDelayMilliseconds(
      this.placedAt - startedAt,
    );
  }
}

import {sleep, type Clock, type DaemonIdentity} from '@gentiandoor/kernel';
import {
  MOST_BATCHED,
  RecordKind,
  type DrainAcknowledgement,
  type PlannedWork,
  type RoutingDrain,
  type SharedState,
} from '@gentiandoor/shared-state';
import type {FleetOptions} from './fleet-options.js';
import type {FleetPublisher} from './fleet-publisher.js';

/** What the acknowledger needs. */
export interface DrainAcknowledgerDependencies {
  readonly clock: Clock;
  readonly identity: DaemonIdentity;
  readonly sharedState: SharedState;
  readonly routingDrain: RoutingDrain;
  readonly fleetPublisher: FleetPublisher;
  readonly fleetOptions: FleetOptions;
}

interface Stopping {
  readonly startedAt: number;
  readonly abandoned: AbortController;
  isReady: boolean;
}

/**
 * Tells the log when this daemon has nothing left on VMs that leave by plan. Without it a
 * move or reboot would either cut exchanges or never go on. Acknowledgements of one tick go
 * out as one record: a rack that drains is one append a daemon, not one a VM.
 */
export class DrainAcknowledger {
  private readonly stopping = new Map<string, Stopping>();
  private readonly ended = new AbortController();
  private running: Promise<void> = Promise.resolve();

  constructor(private readonly dependencies: DrainAcknowledgerDependencies) {}

  start(): void {
    this.running = this.run();
  }

  async stop(): Promise<void> {
    this.ended.abort();
    for (const {abandoned} of this.stopping.values()) abandoned.abort();
    await this.running;
  }

  private async run(): Promise<void> {
    const {clock, fleetOptions} = this.dependencies;
    while (!this.ended.signal.aborted) {
      this.abandonEnded();
      this.beginNew();
      await this.acknowledgeReady();
      await sleep(
        clock,
        fleetOptions.acknowledge_milliseconds,
        this.ended.signal,
      );
    }
  }

  private awaited(work: PlannedWork | undefined): work is PlannedWork {
    const {incarnation} = this.dependencies.identity;
    return work !== undefined && work.awaiting.includes(incarnation);
  }

  /** A drain that was aborted waits for nobody; its watch must not answer for a later drain. */
  private abandonEnded(): void {
    const {work} = this.dependencies.sharedState.state;
    for (const [vm, entry] of this.stopping) {
      const present = work.get(vm);
      if (this.awaited(present) && present.startedAt === entry.startedAt)
        continue;
      entry.abandoned.abort();
      this.stopping.delete(vm);
    }
  }

  private beginNew(): void {
    const {sharedState, routingDrain} = this.dependencies;
    for (const [vm, work] of sharedState.state.work) {
      if (!this.awaited(work) || this.stopping.has(vm)) continue;
      const entry: Stopping = {
        startedAt: work.startedAt,
        abandoned: new AbortController(),
        isReady: false,
      };
      this.stopping.set(vm, entry);
      routingDrain.stopRouting(vm, entry.abandoned.signal).then(
        () => {
          entry.isReady = true;
        },
        // Tried again at the next tick; until then the move says that it waits for this daemon.
        () => this.stopping.delete(vm),
      );
    }
  }

  private async acknowledgeReady(): Promise<void> {
    const {fleetPublisher, identity} = this.dependencies;
    const acknowledgements = this.ready();
    if (acknowledgements.length === 0) return;
    const {incarnation} = identity;
    try {
      await fleetPublisher.publish({
        kind: RecordKind.DrainAcknowledged,
        writer: incarnation,
        incarnation,
        acknowledgements,
      });
    } catch {
      // The log is out: what is ready stays ready and is sent again; twice does no harm.
    }
  }

  private ready(): DrainAcknowledgement[] {
    return [...this.stopping]
      .filter(([, entry]) => entry.isReady && !entry.abandoned.signal.aborted)
      .slice(0, MOST_BATCHED)
      .map(([vm, {startedAt}]) => ({vm, startedAt}));
  }
}

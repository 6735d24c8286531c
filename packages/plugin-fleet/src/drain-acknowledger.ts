import {sleep, type Clock, type DaemonIdentity} from '@gentiandoor/kernel';
import {
  MAXIMUM_BATCH_ENTRIES,
  RecordKind,
  type DrainAcknowledgement,
  type PlannedWork,
  type RoutingDrain,
  type SharedState,
} from '@gentiandoor/shared-state';
import type {FleetOptions} from './fleet-options.js';
import type {FleetPublisher} from './fleet-publisher.js';

/** Components that the acknowledger depends on. */
export interface DrainAcknowledgerDependencies {
  readonly clock: Clock;
  readonly identity: DaemonIdentity;
  readonly sharedState: SharedState;
  readonly routingDrain: RoutingDrain;
  readonly fleetPublisher: FleetPublisher;
  readonly fleetOptions: FleetOptions;
}

interface PendingDrain {
  readonly startedAt: number;
  readonly abortController: AbortController;
  isDrained: boolean;
}

/**
 * Records in the log when this daemon has no exchange left on a VM that planned work takes out.
 * Without it, a move or reboot would either cut exchanges or never continue. Acknowledgements of
 * one tick are written as one record: a draining rack costs one append for each daemon, not one
 * for each VM.
 */
export class DrainAcknowledger {
  private readonly pendingDrains = new Map<string, PendingDrain>();
  private readonly stopController = new AbortController();
  private loop: Promise<void> = Promise.resolve();

  constructor(private readonly dependencies: DrainAcknowledgerDependencies) {}

  start(): void {
    this.loop = this.run();
  }

  async stop(): Promise<void> {
    this.stopController.abort();
    for (const {abortController} of this.pendingDrains.values())
      abortController.abort();
    await this.loop;
  }

  private async run(): Promise<void> {
    const {clock, fleetOptions} = this.dependencies;
    while (!this.stopController.signal.aborted) {
      this.abortEndedDrains();
      this.startNewDrains();
      await this.acknowledgeDrained();
      await sleep(
        clock,
        fleetOptions.acknowledge_milliseconds,
        this.stopController.signal,
      );
    }
  }

  private awaitsThisDaemon(work: PlannedWork | undefined): work is PlannedWork {
    const {incarnation} = this.dependencies.identity;
    return work !== undefined && work.awaiting.includes(incarnation);
  }

  /** An aborted drain waits for no daemon; its pending entry must not acknowledge a later drain. */
  private abortEndedDrains(): void {
    const {work} = this.dependencies.sharedState.state;
    for (const [vm, entry] of this.pendingDrains) {
      const current = work.get(vm);
      if (
        this.awaitsThisDaemon(current) &&
        current.startedAt === entry.startedAt
      )
        continue;
      entry.abortController.abort();
      this.pendingDrains.delete(vm);
    }
  }

  private startNewDrains(): void {
    const {sharedState, routingDrain} = this.dependencies;
    for (const [vm, work] of sharedState.state.work) {
      if (!this.awaitsThisDaemon(work) || this.pendingDrains.has(vm)) continue;
      const entry: PendingDrain = {
        startedAt: work.startedAt,
        abortController: new AbortController(),
        isDrained: false,
      };
      this.pendingDrains.set(vm, entry);
      routingDrain.stopRouting(vm, entry.abortController.signal).then(
        () => {
          entry.isDrained = true;
        },
        // Retried at the next tick; until then the move is shown as waiting for this daemon.
        () => this.pendingDrains.delete(vm),
      );
    }
  }

  private async acknowledgeDrained(): Promise<void> {
    const {fleetPublisher, identity} = this.dependencies;
    const acknowledgements = this.drainedVms();
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
      // The log is unavailable: drained VMs stay drained and are acknowledged again; a
      // duplicate does no harm.
    }
  }

  private drainedVms(): DrainAcknowledgement[] {
    return [...this.pendingDrains]
      .filter(
        ([, entry]) => entry.isDrained && !entry.abortController.signal.aborted,
      )
      .slice(0, MAXIMUM_BATCH_ENTRIES)
      .map(([vm, {startedAt}]) => ({vm, startedAt}));
  }
}

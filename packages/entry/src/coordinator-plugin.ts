import {
  Coordinator,
  CoordinatorElection,
  coordinatorStrength,
  type CoordinatorParts,
  type TermListener,
} from '@gentiandoor/coordinator';
import {
  MetricName,
  logTaskFailure,
  type Plugin,
  type RandomSource,
} from '@gentiandoor/kernel';

/** Runs a coordinator while this daemon holds the term. */
export class CoordinatorPlugin implements Plugin, TermListener {
  private readonly election: CoordinatorElection;
  private coordinator: Coordinator | undefined;

  constructor(
    private readonly parts: CoordinatorParts,
    random: RandomSource,
    incarnation: string,
  ) {
    const {node, size, isFirstStart} = parts.settings;
    this.election = new CoordinatorElection(
      parts.log,
      {node, incarnation, isFirstStart, strength: coordinatorStrength(size)},
      parts.clock,
      random,
      parts.logger,
      this,
    );
  }

  /** The coordinator of the current term; undefined while another daemon holds it. */
  get current(): Coordinator | undefined {
    return this.coordinator;
  }

  async start(): Promise<void> {
    this.election.start();
  }

  /**
   * Releases the term first, so that another daemon takes over while this one lets its
   * callers finish.
   */
  async drain(): Promise<void> {
    await this.election.stop();
  }

  async stop(): Promise<void> {
    this.coordinator?.close();
  }

  onTermStarted(term: number): void {
    this.coordinator?.close();
    this.parts.metrics.increment(MetricName.TermsTaken);
    const coordinator = new Coordinator(term, this.parts, this.election);
    this.coordinator = coordinator;
    coordinator.run().catch((error: unknown) => {
      logTaskFailure(this.parts.logger, 'coordinator', {term}, error);
      throw error;
    });
  }

  onTermEnded(): void {
    this.coordinator?.close();
    this.coordinator = undefined;
  }
}

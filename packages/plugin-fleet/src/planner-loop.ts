import {
  SlowDrainReporter,
  FleetPlanner,
  ElectionAction,
  PlannerElection,
  type PlannerInput,
  type ProposedRecord,
} from '@gentiandoor/fleet';
import {
  LogEvent,
  jitter,
  sleep,
  type Clock,
  type DaemonIdentity,
  type DecisionJournal,
  type Logger,
  type RandomSource,
} from '@gentiandoor/kernel';
import {
  RecordKind,
  RejectionReason,
  jobIndexOf,
  plannerOf,
  type SharedState,
  type VmActions,
  type VmHealth,
  type VmList,
} from '@gentiandoor/shared-state';
import type {FleetOptions} from './fleet-options.js';
import type {JobRunner} from './job-runner.js';
import {VmActionTracker} from './vm-action-tracker.js';
import type {FleetPublisher, RecordWithoutId} from './fleet-publisher.js';
import type {WaveForecasts} from './wave-forecasts.js';

/**
 * Records of one planning stage that are published concurrently; they share appends by
 * group commit.
 */
const PUBLISH_BATCH_SIZE = 50;
/**
 * Delay after a job arrives, so that jobs arriving together are placed together: a tenth of what
 * urgent work may wait.
 */
const JOB_BATCH_DELAY_MILLISECONDS = 200;

/** Components that the loop depends on. */
export interface PlannerLoopDependencies {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly identity: DaemonIdentity;
  readonly sharedState: SharedState;
  readonly vmList: VmList;
  readonly vmHealth: VmHealth;
  readonly vmActions: VmActions;
  readonly decisionJournal: DecisionJournal;
  readonly fleetPublisher: FleetPublisher;
  readonly jobRunner: JobRunner;
  readonly waveForecasts: WaveForecasts;
  readonly fleetPlanner: FleetPlanner;
  readonly fleetOptions: FleetOptions;
}

/**
 * Plans for the fleet while this daemon holds the term, and takes the term when no daemon
 * holds it.
 */
export class PlannerLoop {
  private readonly election: PlannerElection;
  private readonly vmActionTracker: VmActionTracker;
  private readonly stopController = new AbortController();
  private loop: Promise<void> = Promise.resolve();
  private readonly slowDrainReporter = new SlowDrainReporter();
  private heldTerm: number | undefined;
  private wakeController: AbortController | undefined;
  private lastEnqueueCount = 0;

  constructor(private readonly dependencies: PlannerLoopDependencies) {
    const {identity, random, vmActions} = dependencies;
    this.election = new PlannerElection(identity.incarnation, random);
    this.vmActionTracker = new VmActionTracker(vmActions);
    dependencies.sharedState.onChange(() => this.wakeForJobs());
  }

  start(): void {
    this.loop = this.run();
  }

  async stop(): Promise<void> {
    this.stopController.abort();
    await this.loop;
  }

  private async run(): Promise<void> {
    const {clock, random, fleetOptions} = this.dependencies;
    while (!this.stopController.signal.aborted) {
      const wait = jitter(random, 2 * fleetOptions.round_milliseconds);
      await this.placeJobsUntil(clock.monotonicMilliseconds() + wait);
      if (this.stopController.signal.aborted) return;
      await this.runAndLogFailure(() => this.round());
    }
  }

  /** Waits until the next round is due and places new jobs meanwhile. */
  private async placeJobsUntil(due: number): Promise<void> {
    const {clock} = this.dependencies;
    const {signal} = this.stopController;
    for (;;) {
      const remaining = due - clock.monotonicMilliseconds();
      if (remaining <= 0 || signal.aborted) return;
      this.wakeController = new AbortController();
      const wake = AbortSignal.any([signal, this.wakeController.signal]);
      await sleep(clock, remaining, wake);
      if (!this.wakeController.signal.aborted) return;
      // Jobs that arrive together are placed together.
      await sleep(clock, JOB_BATCH_DELAY_MILLISECONDS, signal);
      await this.runAndLogFailure(() => this.placeJobs());
    }
  }

  /**
   * Urgent jobs must start within 1.9 s, so they cannot wait for a round that is up to
   * two seconds away.
   */
  private wakeForJobs(): void {
    const {sharedState, identity} = this.dependencies;
    const {state} = sharedState;
    if (plannerOf(state).holder !== identity.incarnation) return;
    const {enqueueCount} = jobIndexOf(state);
    if (enqueueCount === this.lastEnqueueCount) return;
    this.lastEnqueueCount = enqueueCount;
    this.wakeController?.abort();
  }

  private async placeJobs(): Promise<void> {
    const {sharedState, fleetPlanner, jobRunner} = this.dependencies;
    const {state} = sharedState;
    const proposals = fleetPlanner.jobPlacer.plan(this.plannerInput());
    if (!(await this.publishAll(proposals, plannerOf(state).term))) return;
    await jobRunner.startNewTasks(state, this.stopController.signal);
  }

  private async runAndLogFailure(step: () => Promise<void>): Promise<void> {
    try {
      await step();
    } catch (error) {
      // The log or the platform is unavailable: the next round plans again from the folded state.
      const {logger} = this.dependencies;
      logger.debug(LogEvent.FleetDecision, {failedRound: String(error)});
    }
  }

  /** Runs one round: takes the term or plans, as the role of this daemon requires. */
  async round(): Promise<void> {
    const {clock, sharedState, waveForecasts} = this.dependencies;
    waveForecasts.observe(sharedState.state);
    const step = this.election.next(
      sharedState.state,
      clock.monotonicMilliseconds(),
      sharedState.isLogReachable,
    );
    this.logTermChange(step);
    if (step === ElectionAction.TakeOver) await this.takeTerm();
    if (step === ElectionAction.Plan) await this.plan();
  }

  private logTermChange(step: ElectionAction): void {
    const {logger, sharedState} = this.dependencies;
    const {term} = plannerOf(sharedState.state);
    if (step === ElectionAction.Plan) {
      if (this.heldTerm !== term)
        logger.info(LogEvent.PlannerTermTaken, {term});
      this.heldTerm = term;
    } else if (this.heldTerm !== undefined) {
      logger.info(LogEvent.PlannerTermLost, {term: this.heldTerm});
      this.heldTerm = undefined;
    }
  }

  private async takeTerm(): Promise<void> {
    const {sharedState, fleetPublisher, identity} = this.dependencies;
    const {incarnation} = identity;
    await fleetPublisher.publish({
      kind: RecordKind.PlannerTaken,
      writer: incarnation,
      expectedTerm: plannerOf(sharedState.state).term,
      holder: incarnation,
    });
  }

  private async plan(): Promise<void> {
    const {clock, sharedState, fleetPlanner, jobRunner} = this.dependencies;
    const {term} = plannerOf(sharedState.state);
    const {signal} = this.stopController;
    await this.vmActionTracker.refresh(sharedState.state, signal);
    await jobRunner.reconcile(sharedState.state, term, signal);
    for (const stage of fleetPlanner.stages) {
      const proposals = stage.plan(this.plannerInput());
      if (!(await this.publishAll(proposals, term))) return;
    }
    this.reportSlowDrains();
    if (this.election.shouldRenew(clock.monotonicMilliseconds()))
      await this.publishInTerm({kind: RecordKind.PlannerRenewed}, term);
  }

  private reportSlowDrains(): void {
    const {clock, sharedState, decisionJournal, logger} = this.dependencies;
    const now = clock.monotonicMilliseconds();
    for (const decision of this.slowDrainReporter.report(
      sharedState.state,
      now,
    )) {
      decisionJournal.record(decision);
      const {id, cause} = decision;
      logger.warn(LogEvent.FleetDecision, {id, cause});
    }
  }

  private plannerInput(): PlannerInput {
    const {clock, sharedState, vmList, vmHealth, jobRunner} = this.dependencies;
    return {
      state: sharedState.state,
      now: clock.monotonicMilliseconds(),
      wallNow: clock.wallMilliseconds(),
      vmList: vmList.current(),
      vmListAgeMilliseconds: vmList.ageMilliseconds(),
      suspectedVms: new Set([
        ...vmHealth.suspected(),
        ...jobRunner.faultyVms(),
      ]),
      vmActions: this.vmActionTracker.states,
    };
  }

  /** Publishes records in batches; returns false when the term of this daemon has ended. */
  private async publishAll(
    proposals: readonly ProposedRecord[],
    term: number,
  ): Promise<boolean> {
    for (let from = 0; from < proposals.length; from += PUBLISH_BATCH_SIZE) {
      const batch = proposals.slice(from, from + PUBLISH_BATCH_SIZE);
      const results = await Promise.all(
        batch.map(proposal => this.publishProposal(proposal, term)),
      );
      if (results.includes(RejectionReason.StaleTerm)) return false;
    }
    return true;
  }

  private async publishProposal(
    proposal: ProposedRecord,
    term: number,
  ): Promise<RejectionReason | undefined> {
    const {decisionJournal, logger} = this.dependencies;
    const {decision} = proposal;
    const rejection = await this.publishInTerm(proposal.record, term);
    const turnedDown = rejection && [
      ...(decision.turnedDown ?? []),
      {choice: decision.decision, because: rejection.detail},
    ];
    decisionJournal.record(
      rejection
        ? {...decision, decision: `not done: ${decision.decision}`, turnedDown}
        : decision,
    );
    logger.debug(LogEvent.FleetDecision, {
      subject: decision.subject,
      id: decision.id,
      decision: decision.decision,
      rejected: rejection?.reason,
    });
    return rejection?.reason;
  }

  private async publishInTerm(
    record:
      ProposedRecord['record'] | {readonly kind: RecordKind.PlannerRenewed},
    term: number,
  ) {
    const {fleetPublisher, identity} = this.dependencies;
    const writer = identity.incarnation;
    const {rejection} = await fleetPublisher.publish({
      ...record,
      writer,
      term,
    } as RecordWithoutId);
    return rejection;
  }
}

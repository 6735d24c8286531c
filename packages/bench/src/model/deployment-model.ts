import {SeededRandom, type RandomSource} from '@gentiandoor/kernel';
import {WorkLength, type TeamPolicy} from '@gentiandoor/decisions';
import {EventClock} from './event-clock.js';
import {ModelDaemon, ONE_WAY_MILLISECONDS} from './model-daemon.js';
import {ModelTarget, drawWorkMilliseconds} from './model-target.js';
import type {Policy} from './policies.js';
import {RequestStatistics} from './request-statistics.js';

/** Requests of one kind with random arrival times. */
export interface RequestStream {
  readonly name: string;
  /** Requested service; the stream's name when undefined. */
  readonly service?: string;
  readonly work: WorkLength;
  readonly meanMilliseconds: number;
  /** Requests per second at a time of the run in milliseconds. */
  readonly perSecond: (now: number) => number;
  /** Maximum of `perSecond`. */
  readonly peakPerSecond: number;
  readonly team: TeamPolicy;
  readonly callers: number;
  readonly idempotent: boolean;
  readonly waitMilliseconds: number;
  readonly callerTimeoutMilliseconds: number;
  readonly queueLimit: number;
  /** Sends all requests to the first daemon of this data centre. */
  readonly dataCentre?: number;
  /** Number of daemons that receive this stream's requests; all when undefined. */
  readonly daemons?: number;
}

/** The simulated fleet and load of a scenario. */
export interface ModelPlan {
  readonly daemons: number;
  readonly targets: number;
  readonly targetsInRack: number;
  /** Number of data centres; racks and daemons are assigned to them round-robin. */
  readonly dataCentres: number;
  readonly seed: number;
  readonly warmUpMilliseconds: number;
  readonly milliseconds: number;
  readonly streams: readonly RequestStream[];
  /** Whether a daemon sends its peers a summary early when requests start to wait. */
  readonly sendsEarlySummaries: boolean;
  /** If false, all targets count as in the daemon's data centre. */
  readonly prefersSameDataCentre?: boolean;
  /** If false, daemons use only targets of their own data centre. */
  readonly allowsOtherDataCentres?: boolean;
  /**
   * Requests that wait inside a target when its slots are taken; it answers further ones as busy.
   */
  readonly backlog?: number;
  /** Called before the run to schedule faults. */
  readonly script?: (model: DeploymentModel) => void;
}

/** Slots of each target. */
export const SLOTS = 8;
const CONNECTIONS = 64;
const SUMMARY_MILLISECONDS = 250;
const MINIMUM_EARLY_INTERVAL_MILLISECONDS = 100;
/** Time after the last arrival for requests in flight to end. */
const COMPLETION_MILLISECONDS = 90_000;

/** Simulates daemons and targets on a virtual clock under one policy. */
export class DeploymentModel {
  readonly clock = new EventClock();
  readonly targets = new Map<string, ModelTarget>();
  readonly daemons: ModelDaemon[] = [];
  readonly statisticsByStream = new Map<string, RequestStatistics>();
  /** Ejection state changes of all targets at all daemons. */
  ejectionStateChanges = 0;
  /** Milliseconds of work in responses that arrived in time during the measured period. */
  usefulWork = 0;
  private readonly lastSummaryAt = new Map<string, number>();
  private isolatedDataCentre: number | undefined;
  private hasEnded = false;
  private readonly random: RandomSource;

  constructor(
    readonly plan: ModelPlan,
    policy: Policy,
  ) {
    this.random = new SeededRandom(plan.seed);
    for (let index = 0; index < plan.targets; index++) this.addTarget(index);
    for (let index = 0; index < plan.daemons; index++)
      this.addDaemon(index, policy);
    this.setTargets([...this.targets.keys()]);
    for (const stream of plan.streams) this.startStream(stream);
    plan.script?.(this);
  }

  /** Runs the plan, then lets requests in flight end. */
  run(): void {
    const {warmUpMilliseconds, milliseconds} = this.plan;
    this.clock.runUntil(warmUpMilliseconds + milliseconds);
    this.hasEnded = true;
    this.clock.runUntil(
      warmUpMilliseconds + milliseconds + COMPLETION_MILLISECONDS,
    );
  }

  /** Sets the routable targets of every daemon and which of them are in its data centre. */
  setTargets(ids: readonly string[]): void {
    const routable = ids.flatMap(id => this.targets.get(id)?.routable ?? []);
    for (const daemon of this.daemons) {
      const seen = routable.map(target => ({
        ...target,
        isSameDataCentre:
          this.targets.get(target.id)?.dataCentre === daemon.dataCentre &&
          this.plan.prefersSameDataCentre !== false,
      }));
      daemon.pool.setTargets(
        this.plan.allowsOtherDataCentres === false
          ? seen.filter(({isSameDataCentre}) => isSameDataCentre)
          : seen,
      );
    }
  }

  /** Partitions a data centre from the others; undefined ends the partition. */
  isolate(dataCentre: number | undefined): void {
    for (const daemon of this.daemons) daemon.isolatedDataCentre = dataCentre;
    this.isolatedDataCentre = dataCentre;
  }

  /** Returns the slot-milliseconds that all targets can execute in the measured period. */
  capacity(): number {
    return this.plan.targets * SLOTS * this.plan.milliseconds;
  }

  private addTarget(index: number): void {
    const id = `vm-${index}`;
    const rack = Math.floor(index / this.plan.targetsInRack);
    const routable = {
      id,
      address: id,
      rack: `rack-${rack}`,
      isSameDataCentre: true,
      slots: SLOTS,
      connections: CONNECTIONS,
    };
    const {dataCentres, backlog = 0} = this.plan;
    const dataCentre = rack % dataCentres;
    const target = new ModelTarget(routable, this.clock, backlog, dataCentre);
    this.targets.set(id, target);
  }

  private addDaemon(index: number, policy: Policy): void {
    const name = `entry-${index}`;
    const daemon: ModelDaemon = new ModelDaemon({
      clock: this.clock,
      random: new SeededRandom(this.plan.seed + 1 + index),
      name,
      onWaitingStarted: () => this.sendEarlySummary(daemon, name),
      daemons: this.plan.daemons,
      dataCentre: index % this.plan.dataCentres,
      policy,
      targets: this.targets,
      onEjectionStateChange: () => this.ejectionStateChanges++,
      onUseful: milliseconds => this.countUseful(milliseconds),
    });
    this.daemons.push(daemon);
    const offset = (SUMMARY_MILLISECONDS * index) / this.plan.daemons;
    this.clock.schedule(offset, () => this.sendPeriodicSummary(daemon, name));
  }

  private sendEarlySummary(daemon: ModelDaemon, name: string): void {
    const now = this.clock.monotonicMilliseconds();
    const last = this.lastSummaryAt.get(name) ?? -Infinity;
    if (
      !this.plan.sendsEarlySummaries ||
      now - last < MINIMUM_EARLY_INTERVAL_MILLISECONDS
    )
      return;
    this.sendSummary(daemon, name);
  }

  private sendPeriodicSummary(daemon: ModelDaemon, name: string): void {
    this.sendSummary(daemon, name);
    this.clock.schedule(SUMMARY_MILLISECONDS, () =>
      this.sendPeriodicSummary(daemon, name),
    );
  }

  private sendSummary(daemon: ModelDaemon, name: string): void {
    this.lastSummaryAt.set(name, this.clock.monotonicMilliseconds());
    const targets = daemon.pool.usage();
    const teams = daemon.teamUsage();
    this.clock.schedule(ONE_WAY_MILLISECONDS, () => {
      for (const peer of this.daemons) {
        const isApart =
          this.isolatedDataCentre !== undefined &&
          (peer.dataCentre === this.isolatedDataCentre) !==
            (daemon.dataCentre === this.isolatedDataCentre);
        if (peer !== daemon && !isApart) peer.onPeer(name, targets, teams);
      }
    });
  }

  private countUseful(milliseconds: number): void {
    const isWarm =
      this.clock.monotonicMilliseconds() >= this.plan.warmUpMilliseconds;
    if (isWarm && !this.hasEnded) this.usefulWork += milliseconds;
  }

  private startStream(stream: RequestStream): void {
    const statistics = new RequestStatistics();
    this.statisticsByStream.set(stream.name, statistics);
    this.scheduleArrival(stream, statistics, new RequestStatistics());
  }

  /**
   * Schedules Poisson arrivals at the peak rate and drops some of them to follow a changing rate.
   */
  private scheduleArrival(
    stream: RequestStream,
    statistics: RequestStatistics,
    unmeasured: RequestStatistics,
  ): void {
    const {clock, random, plan} = this;
    const gap = -Math.log(1 - random.nextFraction()) / stream.peakPerSecond;
    clock.schedule(gap * 1000, () => {
      if (this.hasEnded) return;
      const now = clock.monotonicMilliseconds();
      if (random.nextFraction() * stream.peakPerSecond < stream.perSecond(now))
        this.submit(
          stream,
          now < plan.warmUpMilliseconds ? unmeasured : statistics,
        );
      this.scheduleArrival(stream, statistics, unmeasured);
    });
  }

  private submit(stream: RequestStream, statistics: RequestStatistics): void {
    const {random} = this;
    const {team, idempotent, work, queueLimit} = stream;
    const daemons = stream.daemons ?? this.daemons.length;
    const index = stream.dataCentre ?? random.nextInteger(daemons);
    statistics.offered++;
    this.daemons[index].submit({
      statistics,
      startedAt: this.clock.monotonicMilliseconds(),
      service: stream.service ?? stream.name,
      work,
      milliseconds: drawWorkMilliseconds(random, stream.meanMilliseconds),
      idempotent,
      caller: `${stream.name}-${random.nextInteger(stream.callers)}`,
      team,
      waitMilliseconds: stream.waitMilliseconds,
      callerTimeoutMilliseconds: stream.callerTimeoutMilliseconds,
      queueLimit,
    });
  }
}

import {SeededRandom, type RandomSource} from '@gentiandoor/kernel';
import {WorkLength, type TeamPolicy} from '@gentiandoor/decisions';
import {EventClock} from './event-clock.js';
import {ModelDaemon, ONE_WAY_MILLISECONDS} from './model-daemon.js';
import {ModelTarget, drawWorkMilliseconds} from './model-target.js';
import type {Policy} from './policies.js';
import {RequestStatistics} from './request-statistics.js';

/** Requests of one kind that come at random moments. */
export interface RequestStream {
  readonly name: string;
  /** Service that it asks for; its own when undefined. */
  readonly service?: string;
  readonly work: WorkLength;
  readonly meanMilliseconds: number;
  /** Requests a second at a moment of the run, in milliseconds. */
  readonly perSecond: (now: number) => number;
  /** Largest value of `perSecond`. */
  readonly peakPerSecond: number;
  readonly team: TeamPolicy;
  readonly callers: number;
  readonly idempotent: boolean;
  readonly waitMilliseconds: number;
  readonly callerTimeoutMilliseconds: number;
  readonly queueLimit: number;
  /** Gives all to the first daemon of one data centre. */
  readonly dataCentre?: number;
  /** Daemons that get this stream's requests; all when undefined. */
  readonly daemons?: number;
}

/** The fleet that a scenario plays on. */
export interface ModelPlan {
  readonly daemons: number;
  readonly targets: number;
  readonly targetsInRack: number;
  /** Data centres over which racks and daemons are spread in turn. */
  readonly dataCentres: number;
  readonly seed: number;
  readonly warmUpMilliseconds: number;
  readonly milliseconds: number;
  readonly streams: readonly RequestStream[];
  /** Whether a daemon tells its peers at once when requests begin to wait. */
  readonly sendsEarlySummaries: boolean;
  /** False: all targets count as near. */
  readonly prefersSameDataCentre?: boolean;
  /** False: daemons use their own data centre's targets only. */
  readonly allowsOtherDataCentres?: boolean;
  /** Requests that wait inside a target past its slots; it answers busy to more. */
  readonly backlog?: number;
  /** Called at the start: schedules faults. */
  readonly script?: (model: DeploymentModel) => void;
}

/** Slots of a target today. */
export const SLOTS = 8;
const CONNECTIONS = 64;
const SUMMARY_MILLISECONDS = 250;
const MINIMUM_EARLY_INTERVAL_MILLISECONDS = 100;
/** Time after the last arrival for what is under way. */
const DRAIN_MILLISECONDS = 90_000;

/** Daemons and targets on a virtual clock, under one policy. */
export class DeploymentModel {
  readonly clock = new EventClock();
  readonly targets = new Map<string, ModelTarget>();
  readonly daemons: ModelDaemon[] = [];
  readonly statisticsByStream = new Map<string, RequestStatistics>();
  /** Changes of standing of any target at any daemon. */
  ejectionStateChanges = 0;
  /** Milliseconds of work in answers that came in time within the measured time. */
  usefulWork = 0;
  private readonly summarisedAt = new Map<string, number>();
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

  /** Plays the whole plan. */
  run(): void {
    const {warmUpMilliseconds, milliseconds} = this.plan;
    this.clock.runUntil(warmUpMilliseconds + milliseconds);
    this.hasEnded = true;
    this.clock.runUntil(warmUpMilliseconds + milliseconds + DRAIN_MILLISECONDS);
  }

  /** Gives every daemon the same routable targets, near or far. */
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
          ? seen.filter(({isSameDataCentre: isNear}) => isNear)
          : seen,
      );
    }
  }

  /** Cuts a data centre off from the others, or joins it again. */
  isolate(dataCentre: number | undefined): void {
    for (const daemon of this.daemons) daemon.isolatedDataCentre = dataCentre;
    this.isolatedDataCentre = dataCentre;
  }

  /** Slot-milliseconds that all targets could have run in the measured time. */
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
    this.clock.schedule(offset, () => this.summariseInTurn(daemon, name));
  }

  private sendEarlySummary(daemon: ModelDaemon, name: string): void {
    const now = this.clock.monotonicMilliseconds();
    const last = this.summarisedAt.get(name) ?? -Infinity;
    if (
      !this.plan.sendsEarlySummaries ||
      now - last < MINIMUM_EARLY_INTERVAL_MILLISECONDS
    )
      return;
    this.summarise(daemon, name);
  }

  private summariseInTurn(daemon: ModelDaemon, name: string): void {
    this.summarise(daemon, name);
    this.clock.schedule(SUMMARY_MILLISECONDS, () =>
      this.summariseInTurn(daemon, name),
    );
  }

  private summarise(daemon: ModelDaemon, name: string): void {
    this.summarisedAt.set(name, this.clock.monotonicMilliseconds());
    const targets = daemon.pool.usage();
    const teams = daemon.teamUses();
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
    const tally = new RequestStatistics();
    this.statisticsByStream.set(stream.name, tally);
    this.scheduleArrival(stream, tally, new RequestStatistics());
  }

  /** Arrivals at random moments; a changing rate is had by leaving some out. */
  private scheduleArrival(
    stream: RequestStream,
    tally: RequestStatistics,
    unmeasured: RequestStatistics,
  ): void {
    const {clock, random, plan} = this;
    const gap = -Math.log(1 - random.nextFraction()) / stream.peakPerSecond;
    clock.schedule(gap * 1000, () => {
      if (this.hasEnded) return;
      const now = clock.monotonicMilliseconds();
      if (random.nextFraction() * stream.peakPerSecond < stream.perSecond(now))
        this.submit(stream, now < plan.warmUpMilliseconds ? unmeasured : tally);
      this.scheduleArrival(stream, tally, unmeasured);
    });
  }

  private submit(stream: RequestStream, tally: RequestStatistics): void {
    const {random} = this;
    const {team, idempotent, work, queueLimit} = stream;
    const daemons = stream.daemons ?? this.daemons.length;
    const index = stream.dataCentre ?? random.nextInteger(daemons);
    tally.offered++;
    this.daemons[index].submit({
      tally,
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

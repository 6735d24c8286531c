import {
  AdminMethod,
  LogFailure,
  PlatformLogError,
  sleep,
  type AdminRoutes,
  type Clock,
  type DaemonIdentity,
  type Logger,
  type Metrics,
  type Plugin,
  type RandomSource,
} from '@gentiandoor/kernel';
import {
  DEFAULT_APPENDER_OPTIONS,
  LogAppender,
  LogReader,
  RecordPublisher,
  StreamName,
  encodeRecord,
  type FleetRecord,
  type FleetState,
  type FoldOutcome,
  type LogBatch,
  type PeerDirectory,
  type PeerLinks,
  type PlatformLog,
  type RecordSink,
  type SharedState,
  type VmList,
} from '@gentiandoor/shared-state';
import {MemberWatch} from './member-watch.js';
import {Membership} from './membership.js';
import {PeerExchange} from './peer-exchange.js';
import {ServingGate} from './serving-gate.js';
import type {SharedStateOptions} from './shared-state-options.js';
import {SnapshotDuty} from './snapshot-duty.js';
import {SnapshotLoader} from './snapshot-loader.js';
import {RecordSource, StateKeeper} from './state-keeper.js';

const OUTGROWN_MILLISECONDS = 10_000;

/** What the follower needs. */
export interface LogFollowerDependencies {
  readonly identity: DaemonIdentity;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly platformLog: PlatformLog;
  readonly peerLinks: PeerLinks;
  readonly peerDirectory: PeerDirectory;
  readonly vmList: VmList;
  readonly adminRoutes: AdminRoutes;
  readonly sharedStateOptions: SharedStateOptions;
}

/** Follows the fleet stream, keeps the folded state, publishes records. */
export class LogFollower implements SharedState, Plugin, RecordSink {
  /** The end of the fleet stream as the log last said. */
  end: number | undefined;
  /** The oldest offset that the log keeps, as it last said. */
  oldest = 0;
  private readonly keeper: StateKeeper;
  private readonly reader: LogReader;
  private readonly appender: LogAppender;
  private readonly snapshotAppender: LogAppender;
  private readonly publisher: RecordPublisher<FoldOutcome>;
  private readonly loader: SnapshotLoader;
  private readonly exchange: PeerExchange;
  private readonly membership: Membership;
  private readonly watch: MemberWatch;
  private readonly gate: ServingGate;
  private readonly duty: SnapshotDuty;
  private readonly stopping = new AbortController();
  private tasks: Array<Promise<void>> = [];
  /** The empty state for which a snapshot has been looked for. */
  private lookedFor: FleetState | undefined;

  constructor(private readonly dependencies: LogFollowerDependencies) {
    const {
      clock,
      platformLog,
      logger,
      sharedStateOptions: options,
    } = dependencies;
    this.keeper = new StateKeeper(options.trusted_operators, dependencies);
    this.reader = new LogReader(StreamName.Fleet, dependencies, this, {
      limit: options.read_limit,
      waitMilliseconds: options.read_wait_milliseconds,
    });
    const bounds = {
      ...DEFAULT_APPENDER_OPTIONS,
      appendsPerSecond: options.appends_per_second,
      burst: options.appends_per_second,
    };
    this.appender = new LogAppender(StreamName.Fleet, dependencies, bounds);
    this.snapshotAppender = new LogAppender(
      StreamName.Snapshots,
      dependencies,
      bounds,
    );
    this.publisher = new RecordPublisher(
      clock,
      this.appender,
      () => this.reader.isReachable,
    );
    this.keeper.onOutcome = outcome => this.settle(outcome);
    this.loader = new SnapshotLoader(platformLog, logger, this.keeper);
    this.exchange = new PeerExchange(
      dependencies,
      options,
      this.keeper,
      this.reader,
    );
    const publish = (record: FleetRecord, signal?: AbortSignal) =>
      this.publish(record, signal);
    this.membership = new Membership(
      dependencies,
      this.keeper,
      publish,
      () => this.gate.isCaughtUp,
    );
    this.watch = new MemberWatch(dependencies, options, this.keeper, publish);
    this.gate = new ServingGate(
      dependencies,
      options,
      this.keeper,
      this.exchange,
      this,
    );
    this.duty = new SnapshotDuty(
      dependencies,
      options,
      this.keeper,
      this,
      this.snapshotAppender,
      publish,
    );
    dependencies.adminRoutes.add(AdminMethod.Get, '/roll-out', async () => ({
      status: 200,
      body: this.rollOut(),
    }));
  }

  get state(): FleetState {
    return this.keeper.visible;
  }

  get isLogReachable(): boolean {
    return this.reader.isReachable;
  }

  /** As `isLogReachable`: what the gate looks at. */
  get isReachable(): boolean {
    return this.reader.isReachable;
  }

  onChange(listener: () => void): void {
    this.keeper.onChange(listener);
  }

  async start(): Promise<void> {
    const {signal} = this.stopping;
    this.tasks = [
      this.reader.run(signal),
      this.exchange.run(signal),
      this.gate.run(signal),
      this.membership.run(signal),
      this.watch.run(signal),
      this.duty.run(signal),
    ];
  }

  async drain(): Promise<void> {
    await this.membership.leave();
  }

  async stop(): Promise<void> {
    this.stopping.abort();
    await this.appender.stop();
    await this.snapshotAppender.stop();
    await Promise.all(this.tasks);
  }

  publish(record: FleetRecord, signal?: AbortSignal): Promise<FoldOutcome> {
    if (this.keeper.isOutgrown)
      return Promise.reject(
        new PlatformLogError(
          LogFailure.Refused,
          'this version is older than the records in use; start a newer one',
        ),
      );
    return this.publisher.publish(record.id, encodeRecord(record), signal);
  }

  nextOffset(): number {
    return this.keeper.verifiedOffset;
  }

  async take(batch: LogBatch): Promise<void> {
    this.end = batch.end;
    this.oldest = batch.oldest;
    const {live, isOutgrown} = this.keeper;
    if (isOutgrown) {
      // The state stands still: without a pause the same records would be read without end.
      const {clock} = this.dependencies;
      await sleep(clock, OUTGROWN_MILLISECONDS, this.stopping.signal);
      return;
    }
    // A daemon that starts behind many records goes by the newest snapshot, if there is one.
    if (live.nextOffset === 0 && this.lookedFor !== live) {
      if (await this.loader.load(0, this.stopping.signal)) return;
      this.lookedFor = live;
    }
    await this.keeper.apply(batch.from, batch.payloads, RecordSource.Log);
  }

  async crossGap(oldest: number): Promise<void> {
    this.oldest = oldest;
    if (this.keeper.live.nextOffset >= oldest) {
      // Peers brought the state past the gap; what they passed on can no longer be held against the log.
      this.keeper.verifiedOffset = this.keeper.live.nextOffset;
      return;
    }
    if (await this.loader.load(oldest, this.stopping.signal)) return;
    throw new Error(
      `records before ${oldest} are gone and no snapshot from there on verifies`,
    );
  }

  private settle(outcome: FoldOutcome): void {
    const {record} = outcome;
    if ('id' in record) this.publisher.settle(record.id, outcome);
  }

  private rollOut() {
    const {identity, clock} = this.dependencies;
    return {
      daemon: identity,
      ...this.exchange.summary(),
      inForceForMilliseconds:
        clock.monotonicMilliseconds() - this.keeper.inForceSince,
      peers: this.exchange
        .states()
        .map(({peer, summary, tookMilliseconds}) => ({
          ...peer,
          ...summary,
          tookMilliseconds,
        })),
    };
  }
}

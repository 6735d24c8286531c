import {
  AdminMethod,
  PlatformLogFailure,
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
import {GoneMemberRemover} from './gone-member-remover.js';
import {Membership} from './membership.js';
import {PeerStateSync} from './peer-state-sync.js';
import {ServingGate} from './serving-gate.js';
import type {SharedStateOptions} from './shared-state-options.js';
import {SnapshotWriter} from './snapshot-writer.js';
import {SnapshotLoader} from './snapshot-loader.js';
import {RecordSource, StateReplica} from './state-replica.js';

const UNSUPPORTED_FORMAT_PAUSE_MILLISECONDS = 10_000;

/** Dependencies of `LogBackedSharedState`. */
export interface LogBackedSharedStateDependencies {
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

/** Follows the fleet stream, maintains the folded state and publishes records. */
export class LogBackedSharedState implements SharedState, Plugin, RecordSink {
  /** End of the fleet stream in the last response of the log. */
  end: number | undefined;
  /** Oldest retained offset in the last response of the log. */
  oldest = 0;
  private readonly replica: StateReplica;
  private readonly reader: LogReader;
  private readonly appender: LogAppender;
  private readonly snapshotAppender: LogAppender;
  private readonly publisher: RecordPublisher<FoldOutcome>;
  private readonly snapshotLoader: SnapshotLoader;
  private readonly peerStateSync: PeerStateSync;
  private readonly membership: Membership;
  private readonly goneMemberRemover: GoneMemberRemover;
  private readonly servingGate: ServingGate;
  private readonly snapshotWriter: SnapshotWriter;
  private readonly stopping = new AbortController();
  private tasks: Array<Promise<void>> = [];
  /**
   * The empty state for which a snapshot was already searched, so that the search is not
   * repeated.
   */
  private snapshotSearchedFor: FleetState | undefined;

  constructor(private readonly dependencies: LogBackedSharedStateDependencies) {
    const {
      clock,
      platformLog,
      logger,
      sharedStateOptions: options,
    } = dependencies;
    this.replica = new StateReplica(options.trusted_operators, dependencies);
    this.reader = new LogReader(StreamName.Fleet, dependencies, this, {
      limit: options.read_limit,
      waitMilliseconds: options.read_wait_milliseconds,
    });
    const appenderOptions = {
      ...DEFAULT_APPENDER_OPTIONS,
      appendsPerSecond: options.appends_per_second,
      burst: options.appends_per_second,
    };
    this.appender = new LogAppender(
      StreamName.Fleet,
      dependencies,
      appenderOptions,
    );
    this.snapshotAppender = new LogAppender(
      StreamName.Snapshots,
      dependencies,
      appenderOptions,
    );
    this.publisher = new RecordPublisher(
      clock,
      this.appender,
      () => this.reader.isReachable,
    );
    this.replica.onOutcome = outcome => this.resolveOutcome(outcome);
    this.snapshotLoader = new SnapshotLoader(platformLog, logger, this.replica);
    this.peerStateSync = new PeerStateSync(
      dependencies,
      options,
      this.replica,
      this.reader,
    );
    const publish = (record: FleetRecord, signal?: AbortSignal) =>
      this.publish(record, signal);
    this.membership = new Membership(
      dependencies,
      this.replica,
      publish,
      () => this.servingGate.isCaughtUp,
    );
    this.goneMemberRemover = new GoneMemberRemover(
      dependencies,
      options,
      this.replica,
      publish,
    );
    this.servingGate = new ServingGate(
      dependencies,
      options,
      this.replica,
      this.peerStateSync,
      this,
    );
    this.snapshotWriter = new SnapshotWriter(
      dependencies,
      options,
      this.replica,
      this,
      this.snapshotAppender,
      publish,
    );
    dependencies.adminRoutes.add(AdminMethod.Get, '/roll-out', async () => ({
      status: 200,
      body: this.rollOutStatus(),
    }));
  }

  get state(): FleetState {
    return this.replica.servedState;
  }

  get isLogReachable(): boolean {
    return this.reader.isReachable;
  }

  /** Same as `isLogReachable`, under the name that `ServingGate` uses. */
  get isReachable(): boolean {
    return this.reader.isReachable;
  }

  onChange(listener: () => void): void {
    this.replica.onChange(listener);
  }

  async start(): Promise<void> {
    const {signal} = this.stopping;
    this.tasks = [
      this.reader.run(signal),
      this.peerStateSync.run(signal),
      this.servingGate.run(signal),
      this.membership.run(signal),
      this.goneMemberRemover.run(signal),
      this.snapshotWriter.run(signal),
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
    if (this.replica.isFormatUnsupported)
      return Promise.reject(
        new PlatformLogError(
          PlatformLogFailure.Refused,
          'this version is older than the records in use; start a newer one',
        ),
      );
    return this.publisher.publish(record.id, encodeRecord(record), signal);
  }

  nextOffset(): number {
    return this.replica.verifiedOffset;
  }

  async applyBatch(batch: LogBatch): Promise<void> {
    this.end = batch.end;
    this.oldest = batch.oldest;
    const {live, isFormatUnsupported} = this.replica;
    if (isFormatUnsupported) {
      // The state does not advance: without a pause the same records would be read in a busy loop.
      const {clock} = this.dependencies;
      await sleep(
        clock,
        UNSUPPORTED_FORMAT_PAUSE_MILLISECONDS,
        this.stopping.signal,
      );
      return;
    }
    // A daemon that starts from an empty state loads the newest snapshot first, if there is one.
    if (live.nextOffset === 0 && this.snapshotSearchedFor !== live) {
      if (await this.snapshotLoader.load(0, this.stopping.signal)) return;
      this.snapshotSearchedFor = live;
    }
    await this.replica.apply(batch.from, batch.payloads, RecordSource.Log);
  }

  async recoverFromGap(oldest: number): Promise<void> {
    this.oldest = oldest;
    if (this.replica.live.nextOffset >= oldest) {
      // Records from peers took the state past the gap. They can no longer be verified against
      // the log.
      this.replica.verifiedOffset = this.replica.live.nextOffset;
      return;
    }
    if (await this.snapshotLoader.load(oldest, this.stopping.signal)) return;
    throw new Error(
      `the log no longer has the records before offset ${oldest}, and no snapshot from that offset on could be verified`,
    );
  }

  private resolveOutcome(outcome: FoldOutcome): void {
    const {record} = outcome;
    if ('id' in record) this.publisher.resolveOutcome(record.id, outcome);
  }

  private rollOutStatus() {
    const {identity, clock} = this.dependencies;
    return {
      daemon: identity,
      ...this.peerStateSync.summary(),
      inForceForMilliseconds:
        clock.monotonicMilliseconds() - this.replica.inForceSince,
      peers: this.peerStateSync
        .peerStates()
        .map(({peer, summary, tookMilliseconds}) => ({
          ...peer,
          ...summary,
          tookMilliseconds,
        })),
    };
  }
}

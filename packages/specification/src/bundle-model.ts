import {
  Guarantee,
  type Invariant,
  type Mutation,
  type Specification,
  type SpecificationFactory,
} from './specification.js';

/** A signed-off bundle: its version, the version that it builds on and its digest. */
export interface SignedBundle {
  readonly version: number;
  readonly base: number;
  readonly digest: string;
}

/** A version with its digest. */
export interface BundleVersion {
  readonly version: number;
  readonly digest: string;
}

/** The bundle in force at a daemon when it had read up to an offset. */
export interface BundleSnapshot extends BundleVersion {
  readonly offset: number;
}

/** An entry daemon. */
export interface BundleDaemon {
  /** Offset that it reads next. */
  readonly nextOffset: number;
  /** Version in force according to the records that it has read. */
  readonly folded: BundleVersion;
  /** The latest version received from a peer. */
  readonly receivedFromPeer: BundleVersion;
  /** End of the log when it started; it serves nothing before it has read up to there. */
  readonly endOffsetAtStart: number;
  /** Version that the log had in force when it started. */
  readonly versionAtStart: number;
  /** Highest version under which this incarnation served. */
  readonly highestServedVersion: number;
  readonly hasRolledBack: boolean;
  readonly hasServedStaleAtStart: boolean;
}

/** The complete state: the log, its snapshots and the daemons. */
export interface BundleState {
  readonly log: readonly SignedBundle[];
  /** Oldest offset that the log retains. */
  readonly oldest: number;
  readonly snapshots: readonly BundleSnapshot[];
  readonly daemons: readonly BundleDaemon[];
  readonly publishesLeft: number;
  readonly restartsLeft: number;
  readonly snapshotsLeft: number;
}

/** Events of operators, daemons and the log. */
export enum BundleEventType {
  /** An operator's bundle is appended, with a base some versions behind the newest. */
  Publish = 'publish',
  Read = 'read',
  /** A daemon receives the bundle of the other daemon. */
  ReceiveFromPeer = 'hear',
  Restart = 'restart',
  WriteSnapshot = 'write_snapshot',
  /** The log drops its oldest record. */
  TruncateLog = 'retain',
  LoadSnapshot = 'load_snapshot',
}

/** One event. */
export interface BundleEvent {
  readonly type: BundleEventType;
  /** Index of a daemon; for `Publish`, the number of versions that the base is behind. */
  readonly daemonOrVersionsBehind: number;
  /** Index of a snapshot; 0 for other events. */
  readonly snapshotIndex: number;
}

/** Mutations, each of which removes one safeguard. */
export enum BundleMutation {
  AnyBase = 'any-base',
  SnapshotAnyAge = 'snapshot-any-age',
  PeerAnyVersion = 'peer-any-version',
  ForgetPeerVersionOnRead = 'log-over-peer',
  ServeAtOnce = 'serve-at-once',
}

const NO_BUNDLE: BundleVersion = {version: 0, digest: ''};
const DAEMONS = ['a', 'b'];
const VERSIONS_BEHIND = [0, 1];

const NO_VERSION_ROLLBACK = 'a daemon never goes back to an older version';
const NOT_STALE_AT_START =
  'a fresh daemon serves nothing older than the log had in force when it started';
const ONE_DIGEST_PER_VERSION = 'one version is one bundle at all daemons';

const EventType = BundleEventType;
const MutationName = BundleMutation;

/** Folds a section of the log into the bundle in force. */
export function foldBundles(
  log: readonly SignedBundle[],
  initial: BundleVersion,
  mutation?: string,
): BundleVersion {
  return log.reduce((inForce, {version, base, digest}) => {
    const isAccepted =
      base === inForce.version || mutation === MutationName.AnyBase;
    return isAccepted ? {version, digest} : inForce;
  }, initial);
}

/** Bundles in force at two daemons, with concurrent operators, restarts, peers and retention. */
class BundleSpecification implements Specification<BundleState, BundleEvent> {
  readonly name = 'bundles (2 published, 1 restart, 1 snapshot)';
  readonly bounds =
    '2 daemons, 2 bundles on the newest or the version before, 1 restart, 1 snapshot, retention';
  readonly initialState: BundleState = {
    log: [],
    oldest: 0,
    snapshots: [],
    daemons: DAEMONS.map(() => createDaemon(0, 0)),
    publishesLeft: 2,
    restartsLeft: 1,
    snapshotsLeft: 1,
  };
  readonly invariants: ReadonlyArray<Invariant<BundleState>> = [
    {
      guarantee: Guarantee.NoVersionRollback,
      name: NO_VERSION_ROLLBACK,
      holds: ({daemons}) => daemons.every(({hasRolledBack}) => !hasRolledBack),
    },
    {
      guarantee: Guarantee.NoVersionRollback,
      name: NOT_STALE_AT_START,
      holds: ({daemons}) =>
        daemons.every(({hasServedStaleAtStart}) => !hasServedStaleAtStart),
    },
    {
      guarantee: Guarantee.NoVersionRollback,
      name: ONE_DIGEST_PER_VERSION,
      holds: ({daemons}) => {
        const [left, right] = daemons.map(daemon => this.inForce(daemon));
        return left.version !== right.version || left.digest === right.digest;
      },
    },
  ];

  constructor(private readonly mutation: string | undefined) {}

  describe({type, daemonOrVersionsBehind, snapshotIndex}: BundleEvent): string {
    if (type === EventType.Publish)
      return `an operator publishes, ${daemonOrVersionsBehind} versions behind`;
    if (type === EventType.TruncateLog)
      return 'the log lets its oldest record go';
    const step = `daemon ${DAEMONS[daemonOrVersionsBehind]}: ${type}`;
    return type === EventType.LoadSnapshot ? `${step} ${snapshotIndex}` : step;
  }

  enabledEvents(state: BundleState): BundleEvent[] {
    const events: BundleEvent[] = [];
    const add = (
      type: BundleEventType,
      daemonOrVersionsBehind: number,
      when: boolean,
      snapshotIndex = 0,
    ) => {
      if (when) events.push({type, daemonOrVersionsBehind, snapshotIndex});
    };
    const {version} = this.newestInLog(state);
    for (const versionsBehind of VERSIONS_BEHIND)
      add(
        EventType.Publish,
        versionsBehind,
        state.publishesLeft > 0 && version >= versionsBehind,
      );
    const isCoveredBySnapshot = state.snapshots.some(
      ({offset}) => offset > state.oldest,
    );
    add(
      EventType.TruncateLog,
      -1,
      isCoveredBySnapshot && state.oldest < state.log.length,
    );
    state.daemons.forEach((daemon, daemonIndex) => {
      const {nextOffset} = daemon;
      const peerVersion = this.inForce(state.daemons[1 - daemonIndex]);
      const isNewer = peerVersion.version > this.inForce(daemon).version;
      const mayReceive =
        isNewer || this.mutation === MutationName.PeerAnyVersion;
      add(
        EventType.Read,
        daemonIndex,
        nextOffset >= state.oldest && nextOffset < state.log.length,
      );
      add(
        EventType.ReceiveFromPeer,
        daemonIndex,
        peerVersion.version > 0 && mayReceive,
      );
      add(EventType.Restart, daemonIndex, state.restartsLeft > 0);
      add(
        EventType.WriteSnapshot,
        daemonIndex,
        state.snapshotsLeft > 0 && nextOffset > 0,
      );
      state.snapshots.forEach(({offset}, snapshotIndex) => {
        const isUseful = nextOffset < state.oldest && offset > nextOffset;
        const mayLoad =
          isUseful || this.mutation === MutationName.SnapshotAnyAge;
        add(EventType.LoadSnapshot, daemonIndex, mayLoad, snapshotIndex);
      });
    });
    return events;
  }

  step(
    state: BundleState,
    {type, daemonOrVersionsBehind, snapshotIndex}: BundleEvent,
  ): BundleState {
    switch (type) {
      case EventType.Publish:
        return this.publish(state, daemonOrVersionsBehind);
      case EventType.TruncateLog:
        return {...state, oldest: state.oldest + 1};
      case EventType.Restart: {
        const {version} = this.newestInLog(state);
        const started = createDaemon(state.log.length, version);
        const restarted = this.withDaemon(
          state,
          daemonOrVersionsBehind,
          started,
        );
        return {...restarted, restartsLeft: state.restartsLeft - 1};
      }
      case EventType.WriteSnapshot:
        return writeSnapshot(state, daemonOrVersionsBehind);
      default:
        return this.withDaemon(
          state,
          daemonOrVersionsBehind,
          this.stepDaemon(state, type, daemonOrVersionsBehind, snapshotIndex),
        );
    }
  }

  private stepDaemon(
    state: BundleState,
    type: BundleEventType,
    daemonIndex: number,
    snapshotIndex: number,
  ): BundleDaemon {
    const daemon = state.daemons[daemonIndex];
    if (type === EventType.ReceiveFromPeer)
      return {
        ...daemon,
        receivedFromPeer: this.inForce(state.daemons[1 - daemonIndex]),
      };
    if (type === EventType.LoadSnapshot) {
      const {offset, version, digest} = state.snapshots[snapshotIndex];
      return {...daemon, nextOffset: offset, folded: {version, digest}};
    }
    const next = state.log.slice(daemon.nextOffset, daemon.nextOffset + 1);
    const folded = foldBundles(next, daemon.folded, this.mutation);
    const forgetsPeerVersion =
      this.mutation === MutationName.ForgetPeerVersionOnRead;
    const receivedFromPeer = forgetsPeerVersion
      ? NO_BUNDLE
      : daemon.receivedFromPeer;
    return {
      ...daemon,
      nextOffset: daemon.nextOffset + 1,
      folded,
      receivedFromPeer,
    };
  }

  private publish(state: BundleState, versionsBehind: number): BundleState {
    const base = this.newestInLog(state).version - versionsBehind;
    const digest = String.fromCharCode(120 + state.publishesLeft);
    return {
      ...state,
      log: [...state.log, {version: base + 1, base, digest}],
      publishesLeft: state.publishesLeft - 1,
    };
  }

  /** Returns the version that the complete log has in force. */
  private newestInLog({log}: BundleState): BundleVersion {
    return foldBundles(log, NO_BUNDLE, this.mutation);
  }

  /** Returns the version a daemon uses: the higher one of its fold and its peer's version. */
  private inForce({folded, receivedFromPeer}: BundleDaemon): BundleVersion {
    if (
      this.mutation === MutationName.PeerAnyVersion &&
      receivedFromPeer.version > 0
    )
      return receivedFromPeer;
    return receivedFromPeer.version > folded.version
      ? receivedFromPeer
      : folded;
  }

  private withDaemon(
    state: BundleState,
    daemonIndex: number,
    changed: BundleDaemon,
  ): BundleState {
    const daemons = state.daemons.map((daemon, index) =>
      index === daemonIndex ? this.recordServedVersion(changed) : daemon,
    );
    return {...state, daemons};
  }

  /** Records the version under which a daemon serves, and whether that is a rollback. */
  private recordServedVersion(daemon: BundleDaemon): BundleDaemon {
    const {version} = this.inForce(daemon);
    const isReady =
      daemon.nextOffset >= daemon.endOffsetAtStart ||
      this.mutation === MutationName.ServeAtOnce;
    if (!isReady || version === 0) return daemon;
    return {
      ...daemon,
      highestServedVersion: Math.max(daemon.highestServedVersion, version),
      hasRolledBack:
        daemon.hasRolledBack || version < daemon.highestServedVersion,
      hasServedStaleAtStart:
        daemon.hasServedStaleAtStart ||
        (daemon.highestServedVersion === 0 && version < daemon.versionAtStart),
    };
  }
}

/**
 * Creates a daemon that reads from the first offset; if the log no longer retains that offset,
 * it has to load a snapshot.
 */
function createDaemon(
  endOffsetAtStart: number,
  versionAtStart: number,
): BundleDaemon {
  return {
    nextOffset: 0,
    folded: NO_BUNDLE,
    receivedFromPeer: NO_BUNDLE,
    endOffsetAtStart,
    versionAtStart,
    highestServedVersion: 0,
    hasRolledBack: false,
    hasServedStaleAtStart: false,
  };
}

function writeSnapshot(state: BundleState, daemonIndex: number): BundleState {
  const {nextOffset: offset, folded} = state.daemons[daemonIndex];
  const hasBundle = folded.version > 0;
  const snapshots = hasBundle
    ? [...state.snapshots, {offset, ...folded}]
    : state.snapshots;
  return {...state, snapshots, snapshotsLeft: state.snapshotsLeft - 1};
}

const MUTATIONS: readonly Mutation[] = [
  {
    name: MutationName.AnyBase,
    removedSafeguard: 'the check that a bundle builds on the version in force',
    brokenInvariant: ONE_DIGEST_PER_VERSION,
  },
  {
    name: MutationName.SnapshotAnyAge,
    removedSafeguard: 'refusing a snapshot older than what is known',
    brokenInvariant: NO_VERSION_ROLLBACK,
  },
  {
    name: MutationName.PeerAnyVersion,
    removedSafeguard: 'refusing an older version of a peer',
    brokenInvariant: NO_VERSION_ROLLBACK,
  },
  {
    name: MutationName.ForgetPeerVersionOnRead,
    removedSafeguard:
      'keeping a version heard of while the log is still being read',
    brokenInvariant: NO_VERSION_ROLLBACK,
  },
  {
    name: MutationName.ServeAtOnce,
    removedSafeguard:
      'reading to the end of the log before a fresh daemon serves',
    brokenInvariant: NOT_STALE_AT_START,
  },
];

/** Specification of the bundle in force. */
export const BUNDLE_SPECIFICATIONS: SpecificationFactory<
  BundleState,
  BundleEvent
> = {
  mutations: MUTATIONS,
  create: mutation => new BundleSpecification(mutation),
};

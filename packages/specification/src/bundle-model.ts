import {
  Guarantee,
  type Invariant,
  type Mutation,
  type Specification,
  type SpecificationFactory,
} from './specification.js';

/** A signed-off bundle: its version, the version that it builds on, what it says. */
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

/** What a daemon's state was at an offset. */
export interface BundleSnapshot extends BundleVersion {
  readonly offset: number;
}

/** An entry daemon. */
export interface BundleDaemon {
  /** Offset that it reads next. */
  readonly nextOffset: number;
  /** In force by what it has read. */
  readonly folded: BundleVersion;
  /** The newest that a peer gave it. */
  readonly receivedFromPeer: BundleVersion;
  /** It serves nothing before it has read so far. */
  readonly endOffsetAtStart: number;
  /** Version in force in the log when it started. */
  readonly versionAtStart: number;
  /** Highest version under which this incarnation served. */
  readonly highestServedVersion: number;
  readonly hasRolledBack: boolean;
  readonly hasServedStaleAtStart: boolean;
}

/** The whole state. */
export interface BundleState {
  readonly log: readonly SignedBundle[];
  /** Oldest offset that is kept. */
  readonly oldest: number;
  readonly snapshots: readonly BundleSnapshot[];
  readonly daemons: readonly BundleDaemon[];
  readonly publishesLeft: number;
  readonly restartsLeft: number;
  readonly snapshotsLeft: number;
}

/** What may happen. */
export enum BundleEventType {
  /** An operator's bundle lands; `of` tells how far behind its base is. */
  Publish = 'publish',
  Read = 'read',
  /** A daemon takes the bundle of the other one. */
  ReceiveFromPeer = 'hear',
  Restart = 'restart',
  WriteSnapshot = 'write_snapshot',
  /** The log lets its oldest record go. */
  TruncateLog = 'retain',
  LoadSnapshot = 'load_snapshot',
}

/** One thing that happens. */
export interface BundleEvent {
  readonly type: BundleEventType;
  readonly daemonOrVersionsBehind: number;
  /** Place of a snapshot. */
  readonly snapshotIndex: number;
}

/** Safeguards that a mutation takes out. */
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

/** The fold of the specification over a stretch of the log. */
export function foldBundles(
  log: readonly SignedBundle[],
  from: BundleVersion,
  mutation?: string,
): BundleVersion {
  return log.reduce((inForce, {version, base, digest}) => {
    const fits = base === inForce.version || mutation === MutationName.AnyBase;
    return fits ? {version, digest} : inForce;
  }, from);
}

/** Bundles in force at two daemons, with racing operators, restarts, peers and retention. */
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
      holds: ({daemons}) =>
        daemons.every(({hasRolledBack: wentBack}) => !wentBack),
    },
    {
      guarantee: Guarantee.NoVersionRollback,
      name: NOT_STALE_AT_START,
      holds: ({daemons}) =>
        daemons.every(({hasServedStaleAtStart: servedOld}) => !servedOld),
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

  describe({
    type,
    daemonOrVersionsBehind: of,
    snapshotIndex: which,
  }: BundleEvent): string {
    if (type === EventType.Publish)
      return `an operator publishes, ${of} versions behind`;
    if (type === EventType.TruncateLog)
      return 'the log lets its oldest record go';
    const name = `daemon ${DAEMONS[of]}: ${type}`;
    return type === EventType.LoadSnapshot ? `${name} ${which}` : name;
  }

  enabledEvents(state: BundleState): BundleEvent[] {
    const events: BundleEvent[] = [];
    const add = (
      type: BundleEventType,
      of: number,
      when: boolean,
      which = 0,
    ) => {
      if (when)
        events.push({type, daemonOrVersionsBehind: of, snapshotIndex: which});
    };
    const {version} = this.newestInLog(state);
    for (const behind of VERSIONS_BEHIND)
      add(
        EventType.Publish,
        behind,
        state.publishesLeft > 0 && version >= behind,
      );
    const covered = state.snapshots.some(({offset}) => offset > state.oldest);
    add(EventType.TruncateLog, -1, covered && state.oldest < state.log.length);
    state.daemons.forEach((daemon, of) => {
      const {nextOffset: read} = daemon;
      const other = this.inForce(state.daemons[1 - of]);
      const isNewer = other.version > this.inForce(daemon).version;
      const mayHear = isNewer || this.mutation === MutationName.PeerAnyVersion;
      add(EventType.Read, of, read >= state.oldest && read < state.log.length);
      add(EventType.ReceiveFromPeer, of, other.version > 0 && mayHear);
      add(EventType.Restart, of, state.restartsLeft > 0);
      add(EventType.WriteSnapshot, of, state.snapshotsLeft > 0 && read > 0);
      state.snapshots.forEach(({offset}, which) => {
        const helps = read < state.oldest && offset > read;
        const may = helps || this.mutation === MutationName.SnapshotAnyAge;
        add(EventType.LoadSnapshot, of, may, which);
      });
    });
    return events;
  }

  step(
    state: BundleState,
    {type, daemonOrVersionsBehind: of, snapshotIndex: which}: BundleEvent,
  ): BundleState {
    switch (type) {
      case EventType.Publish:
        return this.publish(state, of);
      case EventType.TruncateLog:
        return {...state, oldest: state.oldest + 1};
      case EventType.Restart: {
        const {version} = this.newestInLog(state);
        const started = createDaemon(state.log.length, version);
        const restarted = this.withDaemon(state, of, started);
        return {...restarted, restartsLeft: state.restartsLeft - 1};
      }
      case EventType.WriteSnapshot:
        return writeSnapshot(state, of);
      default:
        return this.withDaemon(
          state,
          of,
          this.stepDaemon(state, type, of, which),
        );
    }
  }

  private stepDaemon(
    state: BundleState,
    type: BundleEventType,
    of: number,
    which: number,
  ): BundleDaemon {
    const daemon = state.daemons[of];
    if (type === EventType.ReceiveFromPeer)
      return {...daemon, receivedFromPeer: this.inForce(state.daemons[1 - of])};
    if (type === EventType.LoadSnapshot) {
      const {offset, version, digest} = state.snapshots[which];
      return {...daemon, nextOffset: offset, folded: {version, digest}};
    }
    const next = state.log.slice(daemon.nextOffset, daemon.nextOffset + 1);
    const folded = foldBundles(next, daemon.folded, this.mutation);
    const isForgotten = this.mutation === MutationName.ForgetPeerVersionOnRead;
    const taken = isForgotten ? NO_BUNDLE : daemon.receivedFromPeer;
    return {
      ...daemon,
      nextOffset: daemon.nextOffset + 1,
      folded,
      receivedFromPeer: taken,
    };
  }

  private publish(state: BundleState, behind: number): BundleState {
    const base = this.newestInLog(state).version - behind;
    const digest = String.fromCharCode(120 + state.publishesLeft);
    return {
      ...state,
      log: [...state.log, {version: base + 1, base, digest}],
      publishesLeft: state.publishesLeft - 1,
    };
  }

  /** What the whole log has in force. */
  private newestInLog({log}: BundleState): BundleVersion {
    return foldBundles(log, NO_BUNDLE, this.mutation);
  }

  /** What a daemon follows: the higher of what it read and what it heard. */
  private inForce({
    folded,
    receivedFromPeer: taken,
  }: BundleDaemon): BundleVersion {
    if (this.mutation === MutationName.PeerAnyVersion && taken.version > 0)
      return taken;
    return taken.version > folded.version ? taken : folded;
  }

  private withDaemon(
    state: BundleState,
    of: number,
    changed: BundleDaemon,
  ): BundleState {
    const daemons = state.daemons.map((daemon, place) =>
      place === of ? this.recordServedVersion(changed) : daemon,
    );
    return {...state, daemons};
  }

  /** Notes the version under which a daemon serves. */
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

/** Reads from the first offset on; where that is gone, it has to load a snapshot. */
function createDaemon(target: number, startVersion: number): BundleDaemon {
  return {
    nextOffset: 0,
    folded: NO_BUNDLE,
    receivedFromPeer: NO_BUNDLE,
    endOffsetAtStart: target,
    versionAtStart: startVersion,
    highestServedVersion: 0,
    hasRolledBack: false,
    hasServedStaleAtStart: false,
  };
}

function writeSnapshot(state: BundleState, of: number): BundleState {
  const {nextOffset: offset, folded} = state.daemons[of];
  const isWhole = folded.version > 0;
  const snapshots = isWhole
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

/** The bundle in force. */
export const BUNDLE_SPECIFICATIONS: SpecificationFactory<
  BundleState,
  BundleEvent
> = {
  mutations: MUTATIONS,
  create: mutation => new BundleSpecification(mutation),
};

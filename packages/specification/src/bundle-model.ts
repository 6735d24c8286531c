import {
  Promised,
  type Invariant,
  type Mutation,
  type Specification,
  type Subject,
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
  readonly read: number;
  /** In force by what it has read. */
  readonly folded: BundleVersion;
  /** The newest that a peer gave it. */
  readonly taken: BundleVersion;
  /** It serves nothing before it has read so far. */
  readonly target: number;
  /** Version in force in the log when it started. */
  readonly startVersion: number;
  /** Highest version under which this incarnation served. */
  readonly served: number;
  readonly wentBack: boolean;
  readonly servedOld: boolean;
}

/** The whole state. */
export interface BundleState {
  readonly log: readonly SignedBundle[];
  /** Oldest offset that is kept. */
  readonly oldest: number;
  readonly snapshots: readonly BundleSnapshot[];
  readonly daemons: readonly BundleDaemon[];
  readonly publishes: number;
  readonly restarts: number;
  readonly snapshotsLeft: number;
}

/** What may happen. */
export enum BundleEventType {
  /** An operator's bundle lands; `of` tells how far behind its base is. */
  Publish = 'publish',
  Read = 'read',
  /** A daemon takes the bundle of the other one. */
  Hear = 'hear',
  Restart = 'restart',
  WriteSnapshot = 'write_snapshot',
  /** The log lets its oldest record go. */
  Retain = 'retain',
  LoadSnapshot = 'load_snapshot',
}

/** One thing that happens. */
export interface BundleEvent {
  readonly type: BundleEventType;
  readonly of: number;
  /** Place of a snapshot. */
  readonly which: number;
}

/** Safeguards that a mutation takes out. */
export enum BundleMutation {
  AnyBase = 'any-base',
  SnapshotAnyAge = 'snapshot-any-age',
  PeerAnyVersion = 'peer-any-version',
  LogOverPeer = 'log-over-peer',
  ServeAtOnce = 'serve-at-once',
}

const NOTHING: BundleVersion = {version: 0, digest: ''};
const DAEMONS = ['a', 'b'];
const STALE_BASES = [0, 1];

const NEVER_BACK = 'a daemon never goes back to an older version';
const NOT_OLD_AT_START =
  'a fresh daemon serves nothing older than the log had in force when it started';
const ONE_DIGEST = 'one version is one bundle at all daemons';

const T = BundleEventType;
const M = BundleMutation;

/** The fold of the specification over a stretch of the log. */
export function foldBundles(
  log: readonly SignedBundle[],
  from: BundleVersion,
  mutation?: string,
): BundleVersion {
  return log.reduce((inForce, {version, base, digest}) => {
    const fits = base === inForce.version || mutation === M.AnyBase;
    return fits ? {version, digest} : inForce;
  }, from);
}

/** Bundles in force at two daemons, with racing operators, restarts, peers and retention. */
class BundleSpecification implements Specification<BundleState, BundleEvent> {
  readonly name = 'bundles (2 published, 1 restart, 1 snapshot)';
  readonly bounds =
    '2 daemons, 2 bundles on the newest or the version before, 1 restart, 1 snapshot, retention';
  readonly initial: BundleState = {
    log: [],
    oldest: 0,
    snapshots: [],
    daemons: DAEMONS.map(() => fresh(0, 0)),
    publishes: 2,
    restarts: 1,
    snapshotsLeft: 1,
  };
  readonly invariants: ReadonlyArray<Invariant<BundleState>> = [
    {
      promise: Promised.NeverBack,
      name: NEVER_BACK,
      holds: ({daemons}) => daemons.every(({wentBack}) => !wentBack),
    },
    {
      promise: Promised.NeverBack,
      name: NOT_OLD_AT_START,
      holds: ({daemons}) => daemons.every(({servedOld}) => !servedOld),
    },
    {
      promise: Promised.NeverBack,
      name: ONE_DIGEST,
      holds: ({daemons}) => {
        const [left, right] = daemons.map(daemon => this.inForce(daemon));
        return left.version !== right.version || left.digest === right.digest;
      },
    },
  ];

  constructor(private readonly mutation: string | undefined) {}

  describe({type, of, which}: BundleEvent): string {
    if (type === T.Publish)
      return `an operator publishes, ${of} versions behind`;
    if (type === T.Retain) return 'the log lets its oldest record go';
    const name = `daemon ${DAEMONS[of]}: ${type}`;
    return type === T.LoadSnapshot ? `${name} ${which}` : name;
  }

  events(state: BundleState): BundleEvent[] {
    const events: BundleEvent[] = [];
    const add = (
      type: BundleEventType,
      of: number,
      when: boolean,
      which = 0,
    ) => {
      if (when) events.push({type, of, which});
    };
    const {version} = this.newest(state);
    for (const behind of STALE_BASES)
      add(T.Publish, behind, state.publishes > 0 && version >= behind);
    const covered = state.snapshots.some(({offset}) => offset > state.oldest);
    add(T.Retain, -1, covered && state.oldest < state.log.length);
    state.daemons.forEach((daemon, of) => {
      const {read} = daemon;
      const other = this.inForce(state.daemons[1 - of]);
      const isNewer = other.version > this.inForce(daemon).version;
      const mayHear = isNewer || this.mutation === M.PeerAnyVersion;
      add(T.Read, of, read >= state.oldest && read < state.log.length);
      add(T.Hear, of, other.version > 0 && mayHear);
      add(T.Restart, of, state.restarts > 0);
      add(T.WriteSnapshot, of, state.snapshotsLeft > 0 && read > 0);
      state.snapshots.forEach(({offset}, which) => {
        const helps = read < state.oldest && offset > read;
        const may = helps || this.mutation === M.SnapshotAnyAge;
        add(T.LoadSnapshot, of, may, which);
      });
    });
    return events;
  }

  step(state: BundleState, {type, of, which}: BundleEvent): BundleState {
    switch (type) {
      case T.Publish:
        return this.publish(state, of);
      case T.Retain:
        return {...state, oldest: state.oldest + 1};
      case T.Restart: {
        const {version} = this.newest(state);
        const started = fresh(state.log.length, version);
        const restarted = this.withDaemon(state, of, started);
        return {...restarted, restarts: state.restarts - 1};
      }
      case T.WriteSnapshot:
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
    if (type === T.Hear)
      return {...daemon, taken: this.inForce(state.daemons[1 - of])};
    if (type === T.LoadSnapshot) {
      const {offset, version, digest} = state.snapshots[which];
      return {...daemon, read: offset, folded: {version, digest}};
    }
    const next = state.log.slice(daemon.read, daemon.read + 1);
    const folded = foldBundles(next, daemon.folded, this.mutation);
    const isForgotten = this.mutation === M.LogOverPeer;
    const taken = isForgotten ? NOTHING : daemon.taken;
    return {...daemon, read: daemon.read + 1, folded, taken};
  }

  private publish(state: BundleState, behind: number): BundleState {
    const base = this.newest(state).version - behind;
    const digest = String.fromCharCode(120 + state.publishes);
    return {
      ...state,
      log: [...state.log, {version: base + 1, base, digest}],
      publishes: state.publishes - 1,
    };
  }

  /** What the whole log has in force. */
  private newest({log}: BundleState): BundleVersion {
    return foldBundles(log, NOTHING, this.mutation);
  }

  /** What a daemon follows: the higher of what it read and what it heard. */
  private inForce({folded, taken}: BundleDaemon): BundleVersion {
    if (this.mutation === M.PeerAnyVersion && taken.version > 0) return taken;
    return taken.version > folded.version ? taken : folded;
  }

  private withDaemon(
    state: BundleState,
    of: number,
    changed: BundleDaemon,
  ): BundleState {
    const daemons = state.daemons.map((daemon, place) =>
      place === of ? this.serve(changed) : daemon,
    );
    return {...state, daemons};
  }

  /** Notes the version under which a daemon serves. */
  private serve(daemon: BundleDaemon): BundleDaemon {
    const {version} = this.inForce(daemon);
    const isReady =
      daemon.read >= daemon.target || this.mutation === M.ServeAtOnce;
    if (!isReady || version === 0) return daemon;
    return {
      ...daemon,
      served: Math.max(daemon.served, version),
      wentBack: daemon.wentBack || version < daemon.served,
      servedOld:
        daemon.servedOld ||
        (daemon.served === 0 && version < daemon.startVersion),
    };
  }
}

/** Reads from the first offset on; where that is gone, it has to load a snapshot. */
function fresh(target: number, startVersion: number): BundleDaemon {
  return {
    read: 0,
    folded: NOTHING,
    taken: NOTHING,
    target,
    startVersion,
    served: 0,
    wentBack: false,
    servedOld: false,
  };
}

function writeSnapshot(state: BundleState, of: number): BundleState {
  const {read: offset, folded} = state.daemons[of];
  const isWhole = folded.version > 0;
  const snapshots = isWhole
    ? [...state.snapshots, {offset, ...folded}]
    : state.snapshots;
  return {...state, snapshots, snapshotsLeft: state.snapshotsLeft - 1};
}

const MUTATIONS: readonly Mutation[] = [
  {
    name: M.AnyBase,
    without: 'the check that a bundle builds on the version in force',
    breaks: ONE_DIGEST,
  },
  {
    name: M.SnapshotAnyAge,
    without: 'refusing a snapshot older than what is known',
    breaks: NEVER_BACK,
  },
  {
    name: M.PeerAnyVersion,
    without: 'refusing an older version of a peer',
    breaks: NEVER_BACK,
  },
  {
    name: M.LogOverPeer,
    without: 'keeping a version heard of while the log is still being read',
    breaks: NEVER_BACK,
  },
  {
    name: M.ServeAtOnce,
    without: 'reading to the end of the log before a fresh daemon serves',
    breaks: NOT_OLD_AT_START,
  },
];

/** The bundle in force. */
export const BUNDLES: Subject<BundleState, BundleEvent> = {
  mutations: MUTATIONS,
  make: mutation => new BundleSpecification(mutation),
};

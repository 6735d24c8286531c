import type {JobIntake} from './job-intake.js';
import type {OperatorView} from './operator-view.js';

/** A daemon whose latest read of the store is older than this is not ready. */
const MAXIMUM_READ_AGE_MILLISECONDS = 2_000;
/** A daemon whose calls to the store have failed this long is not ready. */
const OUTAGE_MILLISECONDS = 300;

/**
 * Reports whether the load balancer should send callers to this daemon.
 * Load: a partitioned data centre, or a store that rejects single daemons, for seconds. Without it,
 * callers of this daemon are rejected until the load balancer detects that by itself, if it ever
 * does. If no daemon reaches the store, none is ready, and the load balancer keeps using all of
 * them.
 */
export class DaemonReadiness {
  constructor(
    private readonly operators: OperatorView,
    private readonly jobIntake: JobIntake,
    private readonly isStopping: () => boolean,
  ) {}

  /** Whether this daemon has a configuration, reaches the store and is not stopping. */
  get isReady(): boolean {
    const {operators} = this;
    return (
      operators.configuration !== undefined &&
      !this.isStopping() &&
      operators.follower.ageMilliseconds < MAXIMUM_READ_AGE_MILLISECONDS &&
      operators.unreachableMilliseconds < OUTAGE_MILLISECONDS &&
      !this.areAppendsFailing
    );
  }

  /**
   * Whether appends fail and no read has succeeded since: without callers, no append would show
   * that the store is back.
   */
  private get areAppendsFailing(): boolean {
    const {operators, jobIntake} = this;
    const isFailing = jobIntake.failingMilliseconds >= OUTAGE_MILLISECONDS;
    const hasReadSinceFailure =
      operators.follower.ageMilliseconds < jobIntake.sinceFailureMilliseconds;
    return isFailing && !hasReadSinceFailure;
  }
}

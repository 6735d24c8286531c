import type {JobIntake} from './job-intake.js';
import type {OperatorView} from './operator-view.js';

/** A daemon whose last read of the store is older than this is not ready. */
const MAXIMUM_READ_AGE_MILLISECONDS = 2_000;
/** A daemon whose calls to the store have failed this long is not ready. */
const OUTAGE_MILLISECONDS = 300;

/**
 * Whether callers are better served by another daemon.
 * Load: a data centre cut off, or a store that turns single daemons away, for seconds. Without it
 * callers of this daemon are refused until the balancer has noticed by itself, if it ever does. Where
 * no daemon reaches the store all of them say so, and the balancer goes on with all.
 */
export class DaemonReadiness {
  constructor(
    private readonly operators: OperatorView,
    private readonly jobIntake: JobIntake,
    private readonly isStopping: () => boolean,
  ) {}

  /** This daemon has a configuration, reaches the store and is not stopping. */
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

  /** Appends fail and nothing was read since: without callers no append would show that the store is back. */
  private get areAppendsFailing(): boolean {
    const {operators, jobIntake: desk} = this;
    const isFailing = desk.failingMilliseconds >= OUTAGE_MILLISECONDS;
    const readSince =
      operators.follower.ageMilliseconds < desk.sinceFailureMilliseconds;
    return isFailing && !readSince;
  }
}

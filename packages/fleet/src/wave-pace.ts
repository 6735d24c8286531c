import {
  PlannedWorkKind,
  type PlannedWork,
  type Wave,
} from '@gentiandoor/shared-state';

/** Failures after which a wave stops, if they are also a large share. */
const FAILURES_TO_STOP = 3;
const SHARE_TO_STOP = 0.2;
/** Failures that stop a wave before its first success: the change itself is at fault. */
const FAILURES_BEFORE_SUCCESS = 2;

/** Result of the pace rule for a wave now. */
export interface WavePace {
  /** Maximum VMs under maintenance at one time. */
  readonly maximumActive: number;
  readonly done: number;
  readonly failures: number;
  /** Why the wave must stop; undefined if it may continue. */
  readonly stopReason?: string;
}

/**
 * Returns how fast a wave may proceed, based on results since it was started or resumed.
 * Load: a fault caused by the reboot itself. At full speed a wave would take every pool to the
 * limit of its budget with VMs that do not work. It starts with one VM, gains one with each success
 * (so it doubles with each generation until the budgets limit it) and halves with each failure. Two
 * failures before any success, or three that are a fifth of all, stop it: at the fleet's ordinary
 * failure rate (210 of 31,000 VMs a day) three chance failures among fifteen reboots of half an
 * hour have a probability below one in ten million.
 */
export function wavePace(wave: Wave, active: readonly PlannedWork[]): WavePace {
  const {resumedAt} = wave;
  const done = wave.done - resumedAt.done;
  const ended = wave.failed + wave.handedOver - resumedAt.failures;
  const failures = ended + active.filter(isRetrying(wave)).length;
  const maximumActive = Math.max(1, Math.floor((1 + done) / 2 ** failures));
  return {
    maximumActive,
    done,
    failures,
    stopReason: stopReason(done, failures),
  };
}

function isRetrying(wave: Wave): (work: PlannedWork) => boolean {
  return work =>
    work.kind === PlannedWorkKind.Maintenance &&
    work.attempts > 1 &&
    work.startedAt > wave.resumedAt.offset;
}

function stopReason(done: number, failures: number): string | undefined {
  const hasFailedEarly = done === 0 && failures >= FAILURES_BEFORE_SUCCESS;
  const share = failures / Math.max(1, done + failures);
  const hasManyFailures =
    failures >= FAILURES_TO_STOP && share >= SHARE_TO_STOP;
  if (!hasFailedEarly && !hasManyFailures) return undefined;
  return `${failures} of ${done + failures} VMs did not come back healthy: look for a shared fault, then resume or abort`;
}

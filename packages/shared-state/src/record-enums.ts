/** Condition of a VM as observed by the planner. */
export enum VmCondition {
  Up = 'up',
  /** Daemons have first-hand evidence of failures, but the VM is still on the platform's list. */
  Suspected = 'suspected',
  Leaving = 'leaving',
  /** No longer on the platform's list. */
  Down = 'down',
}

/** Why a VM is moved. */
export enum MoveCause {
  /** The bundle lists the VM in the other pool. */
  Desired = 'desired',
  /** The other pool needs the VM to meet a budget. */
  Lend = 'lend',
  Operator = 'operator',
}

/** Changes that an operator or the planner makes to a wave. */
export enum WaveChange {
  Hold = 'hold',
  Resume = 'resume',
  Abort = 'abort',
  Finish = 'finish',
}

/** Actions on a VM that are requested from the platform. */
export enum VmAction {
  Reboot = 'reboot',
  Replace = 'replace',
}

/** How the maintenance or repair of a VM ended. */
export enum MaintenanceOutcome {
  Done = 'done',
  /** The VM came back and then failed again. */
  Failed = 'failed',
  /** All attempts were used up; the VM was handed over to operators. */
  HandedOver = 'handed_over',
  /** Ended before any action was requested from the platform. */
  Abandoned = 'abandoned',
}

/** How an attempt of a job ended, as reported by the platform. */
export enum JobOutcome {
  Finished = 'finished',
  Failed = 'failed',
  Stopped = 'stopped',
  /** The lease lapsed; the attempt may have run or may still be running. */
  Lapsed = 'lapsed',
  /** The platform guarantees that the attempt never started. */
  NeverStarted = 'never_started',
}

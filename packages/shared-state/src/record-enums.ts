/** Condition of a VM as the planner saw it. */
export enum VmCondition {
  Up = 'up',
  /** First-hand evidence speaks against it; the list still shows it. */
  Suspected = 'suspected',
  Leaving = 'leaving',
  /** Gone from the list. */
  Down = 'down',
}

/** Why a move is made. */
export enum MoveCause {
  /** The bundle lists the VM in the other pool. */
  Desired = 'desired',
  /** The other pool needs it to keep a budget. */
  Lend = 'lend',
  Operator = 'operator',
}

/** What an operator or the planner does to a wave. */
export enum WaveChange {
  Hold = 'hold',
  Resume = 'resume',
  Abort = 'abort',
  Finish = 'finish',
}

/** What is asked of the platform for a VM. */
export enum VmAction {
  Reboot = 'reboot',
  Replace = 'replace',
}

/** How the maintenance or repair of a VM ended. */
export enum MaintenanceOutcome {
  Done = 'done',
  /** The VM came back and failed again. */
  Failed = 'failed',
  /** All tries are used up; operators have it. */
  HandedOver = 'handed_over',
  /** Stopped before the platform was asked. */
  Abandoned = 'abandoned',
}

/** How an attempt of a job ended, as the platform says. */
export enum JobOutcome {
  Finished = 'finished',
  Failed = 'failed',
  Stopped = 'stopped',
  /** The lease lapsed; it may have run, or may still run. */
  Lapsed = 'lapsed',
  /** The platform says for certain that it never started. */
  NeverStarted = 'never_started',
}

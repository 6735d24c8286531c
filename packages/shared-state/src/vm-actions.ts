import type {VmAction} from './record-enums.js';

/** State of an action on the platform. */
export enum VmActionState {
  Running = 'running',
  Done = 'done',
  Failed = 'failed',
}

/** Requests one action on one VM. */
export interface VmActionRequest {
  /**
   * Identifies the action. The platform keeps ids for at least a day and runs each id once, so
   * that a repeated request of a planner that was paused has no effect.
   */
  readonly id: string;
  readonly vm: string;
  readonly action: VmAction;
}

/** Reboots and replaces VMs on the platform. Registered in the wiring as `vmActions`. */
export interface VmActions {
  /** Requests the action; returns the state of the one with the same id if it exists. */
  requestAction(
    request: VmActionRequest,
    signal?: AbortSignal,
  ): Promise<VmActionState>;
}

import type {VmAction} from './record-enums.js';

/** How far the platform has come with an action. */
export enum VmActionState {
  Running = 'running',
  Done = 'done',
  Failed = 'failed',
}

/** One action on one VM. */
export interface VmActionRequest {
  /**
   * Names the action. The platform keeps ids for at least a day and does an id once: a planner
   * that was paused and asks again changes nothing.
   */
  readonly id: string;
  readonly vm: string;
  readonly action: VmAction;
}

/** The platform's reboots and replacements. Registered in the wiring as `vmActions`. */
export interface VmActions {
  /** Asks for the action, or says how far the one of that id has come. */
  requestAction(
    request: VmActionRequest,
    signal?: AbortSignal,
  ): Promise<VmActionState>;
}

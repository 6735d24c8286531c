/** Identifies this daemon and its current process. */
export interface DaemonIdentity {
  /** Name from the settings; stays the same across restarts. */
  readonly name: string;
  /** Data centre from the settings. */
  readonly dataCentre: string;
  /** Generated at each start, so that a restarted daemon counts as a new incarnation. */
  readonly incarnation: string;
}

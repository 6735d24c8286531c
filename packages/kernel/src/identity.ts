/** Who this daemon is. */
export interface DaemonIdentity {
  /** Name from the settings, stable over restarts. */
  readonly name: string;
  /** Data centre from the settings. */
  readonly dataCentre: string;
  /** New at every start: a restarted daemon is a new one. */
  readonly incarnation: string;
}

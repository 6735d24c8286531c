/** Tracks whether the daemon still accepts new work; shared by the plug-ins. */
export class DrainState {
  private draining = false;
  private readonly listeners: Array<() => void> = [];

  /** True once a stop has been requested. */
  get isDraining(): boolean {
    return this.draining;
  }

  /** Starts the graceful shutdown and calls each listener once. */
  begin(): void {
    if (this.draining) return;
    this.draining = true;
    for (const listener of this.listeners) listener();
  }

  /** Registers a listener that is called when the graceful shutdown starts. */
  onBegin(listener: () => void): void {
    this.listeners.push(listener);
  }
}

/** Whether the daemon still takes new work; shared by the plug-ins. */
export class DrainState {
  private draining = false;
  private readonly listeners: Array<() => void> = [];

  /** True after a stop has been asked for. */
  get isDraining(): boolean {
    return this.draining;
  }

  /** Begins the graceful stop; calls each listener once. */
  begin(): void {
    if (this.draining) return;
    this.draining = true;
    for (const listener of this.listeners) listener();
  }

  /** Calls `listener` when the graceful stop begins. */
  onBegin(listener: () => void): void {
    this.listeners.push(listener);
  }
}

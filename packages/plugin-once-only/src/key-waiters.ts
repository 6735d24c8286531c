import type {Clock} from '@gentiandoor/kernel';

/** Requests that wait for something to change about a key, each with its own bound. */
export class KeyWaiters {
  private readonly waiters = new Map<string, Set<() => void>>();
  private waitingCount = 0;

  constructor(private readonly clock: Clock) {}

  /** How many wait. */
  get size(): number {
    return this.waitingCount;
  }

  /** Resolves when the key is woken, after `milliseconds`, or when `signal` aborts. */
  async wait(
    key: string,
    milliseconds: number,
    signal?: AbortSignal,
  ): Promise<void> {
    if (signal?.aborted || milliseconds <= 0) return;
    this.waitingCount++;
    const set = this.waiters.get(key) ?? new Set();
    this.waiters.set(key, set);
    await new Promise<void>(resolve => {
      const end = () => {
        timer.cancel();
        signal?.removeEventListener('abort', end);
        set.delete(end);
        resolve();
      };
      const timer = this.clock.schedule(milliseconds, end);
      signal?.addEventListener('abort', end, {once: true});
      set.add(end);
    });
    this.waitingCount--;
    if (set.size === 0 && this.waiters.get(key) === set)
      this.waiters.delete(key);
  }

  wake(key: string): void {
    const set = this.waiters.get(key);
    if (!set) return;
    for (const end of [...set]) end();
  }
}

import type {Clock} from '@gentiandoor/kernel';

/** Requests that wait for the status of a key to change, each with its own timeout. */
export class KeyWaiters {
  private readonly waiters = new Map<string, Set<() => void>>();
  private waitingCount = 0;

  constructor(private readonly clock: Clock) {}

  /** Number of waiting requests. */
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
    const keyWaiters = this.waiters.get(key) ?? new Set();
    this.waiters.set(key, keyWaiters);
    await new Promise<void>(resolve => {
      const end = () => {
        timer.cancel();
        signal?.removeEventListener('abort', end);
        keyWaiters.delete(end);
        resolve();
      };
      const timer = this.clock.schedule(milliseconds, end);
      signal?.addEventListener('abort', end, {once: true});
      keyWaiters.add(end);
    });
    this.waitingCount--;
    if (keyWaiters.size === 0 && this.waiters.get(key) === keyWaiters)
      this.waiters.delete(key);
  }

  wake(key: string): void {
    const keyWaiters = this.waiters.get(key);
    if (!keyWaiters) return;
    for (const end of [...keyWaiters]) end();
  }
}

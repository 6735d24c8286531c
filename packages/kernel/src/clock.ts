/** A cancellable timer. */
export interface Timer {
  cancel(): void;
}

/**
 * Source of time and timers, in milliseconds.
 * Deadlines use `monotonicMilliseconds`, because the wall clock can be stepped.
 */
export interface Clock {
  /** Milliseconds since an arbitrary start; never decreases. */
  monotonicMilliseconds(): number;
  /** Milliseconds since the Unix epoch; for display and records only. */
  wallMilliseconds(): number;
  /**
   * Calls `action` once after `delayMilliseconds`, never before `monotonicMilliseconds` has advanced
   * by as much.
   */
  schedule(delayMilliseconds: number, action: () => void): Timer;
}

/** Waits for `delayMilliseconds` on `clock`; ends early when `signal` aborts. */
export function sleep(
  clock: Clock,
  delayMilliseconds: number,
  signal?: AbortSignal,
): Promise<void> {
  return new Promise(resolve => {
    if (signal?.aborted) {
      resolve();
      return;
    }
    const finish = () => {
      signal?.removeEventListener('abort', finish);
      timer.cancel();
      resolve();
    };
    const timer = clock.schedule(delayMilliseconds, finish);
    signal?.addEventListener('abort', finish, {once: true});
  });
}

/** A longer delay does not fit into a timer of Node.js, which would fire at once. */
const MAXIMUM_TIMER_MILLISECONDS = 2 ** 31 - 1;

function startTimer(action: () => void, milliseconds: number): NodeJS.Timeout {
  return setTimeout(action, Math.min(milliseconds, MAXIMUM_TIMER_MILLISECONDS));
}

/** The system clock. */
export class SystemClock implements Clock {
  monotonicMilliseconds(): number {
    return performance.now();
  }

  wallMilliseconds(): number {
    return Date.now();
  }

  schedule(delayMilliseconds: number, action: () => void): Timer {
    const dueAt = this.monotonicMilliseconds() + delayMilliseconds;
    const run = () => {
      const remaining = dueAt - this.monotonicMilliseconds();
      // Timers of Node.js count whole milliseconds and may fire one too early.
      if (remaining > 0) handle = startTimer(run, remaining);
      else action();
    };
    let handle = startTimer(run, delayMilliseconds);
    return {cancel: () => clearTimeout(handle)};
  }
}

interface PendingTimer {
  readonly dueAt: number;
  readonly sequence: number;
  readonly action: () => void;
}

/** A clock for tests and simulations: time advances only through `advance` and `advanceAsync`. */
export class VirtualClock implements Clock {
  private now = 0;
  private nextSequence = 0;
  private readonly pending = new Set<PendingTimer>();

  constructor(private readonly wallStart = 1_700_000_000_000) {}

  monotonicMilliseconds(): number {
    return this.now;
  }

  wallMilliseconds(): number {
    return this.wallStart + this.now;
  }

  schedule(delayMilliseconds: number, action: () => void): Timer {
    const timer: PendingTimer = {
      dueAt: this.now + Math.max(0, delayMilliseconds),
      sequence: this.nextSequence++,
      action,
    };
    this.pending.add(timer);
    return {cancel: () => this.pending.delete(timer)};
  }

  /** Advances time and runs each timer that becomes due, in order. */
  advance(milliseconds: number): void {
    const end = this.now + milliseconds;
    for (let next = this.nextDue(end); next; next = this.nextDue(end)) {
      this.pending.delete(next);
      this.now = Math.max(this.now, next.dueAt);
      next.action();
    }
    this.now = end;
  }

  /** Like `advance`, but lets pending promises settle after each timer. */
  async advanceAsync(milliseconds: number): Promise<void> {
    const end = this.now + milliseconds;
    await yieldToEventLoop();
    for (let next = this.nextDue(end); next; next = this.nextDue(end)) {
      this.pending.delete(next);
      this.now = Math.max(this.now, next.dueAt);
      next.action();
      await yieldToEventLoop();
    }
    this.now = end;
  }

  private nextDue(end: number): PendingTimer | undefined {
    let best: PendingTimer | undefined;
    for (const timer of this.pending) {
      if (timer.dueAt > end) continue;
      if (!best || isBefore(timer, best)) best = timer;
    }
    return best;
  }
}

function isBefore(left: PendingTimer, right: PendingTimer): boolean {
  if (left.dueAt !== right.dueAt) return left.dueAt < right.dueAt;
  return left.sequence < right.sequence;
}

function yieldToEventLoop(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}

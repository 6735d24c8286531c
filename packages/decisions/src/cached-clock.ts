import type {Clock, Timer} from '@gentiandoor/kernel';

/**
 * A clock that is read once for a whole decision. Choosing among a dozen targets asks for the time
 * some thirty times; reading it each time took more than half of a request's choice.
 */
export class CachedClock implements Clock {
  private now: number;

  constructor(private readonly clock: Clock) {
    this.now = clock.monotonicMilliseconds();
  }

  /** Reads the time; called where a decision begins. */
  refresh(): void {
    this.now = this.clock.monotonicMilliseconds();
  }

  monotonicMilliseconds(): number {
    return this.now;
  }

  wallMilliseconds(): number {
    return this.clock.wallMilliseconds();
  }

  schedule(delayMilliseconds: number, action: () => void): Timer {
    return this.clock.schedule(delayMilliseconds, action);
  }
}

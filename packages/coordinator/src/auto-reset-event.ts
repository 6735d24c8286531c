import {type Clock, type Timer} from '@gentiandoor/kernel';

/** Wakes one waiter; a notification that finds no waiter is kept for the next `wait`. */
export class AutoResetEvent {
  private notified = false;
  private wake: (() => void) | undefined;

  constructor(private readonly clock: Clock) {}

  notify(): void {
    this.notified = true;
    this.wake?.();
  }

  /** Resolves on a notification or after `timeoutMilliseconds`. */
  async wait(timeoutMilliseconds?: number): Promise<void> {
    if (!this.notified) await this.nextNotification(timeoutMilliseconds);
    this.notified = false;
  }

  private nextNotification(timeoutMilliseconds?: number): Promise<void> {
    return new Promise(resolve => {
      let timer: Timer | undefined;
      const finish = () => {
        timer?.cancel();
        this.wake = undefined;
        resolve();
      };
      this.wake = finish;
      if (timeoutMilliseconds !== undefined)
        timer = this.clock.schedule(timeoutMilliseconds, finish);
    });
  }
}

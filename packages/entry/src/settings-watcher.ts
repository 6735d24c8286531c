import type {EntrySettings} from '@gentiandoor/coordinator';
import {LogEvent, type Clock, type Logger} from '@gentiandoor/kernel';

/**
 * The file may change without a signal. Reading a few kilobytes at this interval has no
 * measurable cost.
 */
const POLL_INTERVAL_MILLISECONDS = 5_000;

/** Reads the settings; throws `SettingsError` when the file is incomplete. */
export type SettingsReader = () => EntrySettings;

/**
 * Updates the settings object in place: components read addresses and limits when they use them.
 * Listen addresses stay as they were at startup.
 */
export class SettingsWatcher {
  private stopped = false;

  constructor(
    private readonly settings: EntrySettings,
    private readonly read: SettingsReader,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  start(): void {
    this.clock.schedule(POLL_INTERVAL_MILLISECONDS, () => {
      if (this.stopped) return;
      this.reload();
      this.start();
    });
  }

  stop(): void {
    this.stopped = true;
  }

  /** Reads the file now; if it can't be read, the last valid settings stay in force. */
  reload(): void {
    try {
      this.apply(this.read());
    } catch (error) {
      this.logger.warn(LogEvent.SettingsUnreadable, {error: String(error)});
    }
  }

  private apply(newSettings: EntrySettings): void {
    const previous = new Map(Object.entries(this.settings));
    const changed = Object.entries(newSettings)
      .filter(
        ([name, value]) =>
          JSON.stringify(value) !== JSON.stringify(previous.get(name)),
      )
      .map(([name]) => name);
    if (changed.length === 0) return;
    Object.assign(this.settings, newSettings);
    this.logger.info(LogEvent.SettingsChanged, {changed});
  }
}

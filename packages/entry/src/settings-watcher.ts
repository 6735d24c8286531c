import type {EntrySettings} from '@gentiandoor/coordinator';
import {LogEvent, type Clock, type Logger} from '@gentiandoor/kernel';

/** The file may change without a signal; reading a few kilobytes this often costs nothing that can be measured. */
const POLL_INTERVAL_MILLISECONDS = 5_000;

/** Reads settings; throws `SettingsError` when the file is not whole. */
export type SettingsReader = () => EntrySettings;

/**
 * Keeps settings up to date in place: parts read addresses and limits where they use them.
 * What the daemon listens on stays as it was at the start.
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

  /** Reads the file now; a file that can't be read leaves the last good settings in force. */
  reload(): void {
    try {
      this.apply(this.read());
    } catch (error) {
      this.logger.warn(LogEvent.SettingsUnreadable, {error: String(error)});
    }
  }

  private apply(fresh: EntrySettings): void {
    const before = new Map(Object.entries(this.settings));
    const changed = Object.entries(fresh)
      .filter(
        ([name, value]) =>
          JSON.stringify(value) !== JSON.stringify(before.get(name)),
      )
      .map(([name]) => name);
    if (changed.length === 0) return;
    Object.assign(this.settings, fresh);
    this.logger.info(LogEvent.SettingsChanged, {changed});
  }
}

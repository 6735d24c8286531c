import {LogEvent, sleep, type Clock, type Logger} from '@gentiandoor/kernel';
import type {VmSize} from './entry-settings.js';
import {
  AppendOutcome,
  LogStream,
  ReadOutcome,
  type RecordLog,
} from './record-log.js';

const RETRY_MILLISECONDS = 250;
/** Daemons within this share of the strongest one count as equal to it. */
const EQUAL_STRENGTH_SHARE = 0.75;

/**
 * Strengths announced by all daemons; records are kept forever, so daemons that are gone are
 * included.
 */
export class DaemonRoster {
  private strongest = 0;

  constructor(
    private readonly log: RecordLog,
    private readonly node: string,
    /** Load that the VM can carry as the coordinator; in any unit that all daemons share. */
    private readonly strength: number,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  /** Whether a daemon clearly stronger than this one has ever started. */
  get hasStrongerDaemon(): boolean {
    return this.strength < EQUAL_STRENGTH_SHARE * this.strongest;
  }

  /** Announces this daemon's strength; retries until it is stored or `isStopped` returns true. */
  async announce(isStopped: () => boolean): Promise<void> {
    const value = Buffer.from(JSON.stringify({strength: this.strength}));
    while (!isStopped()) {
      const result = await this.log.append(LogStream.Daemons, [
        {key: this.node, value},
      ]);
      if (result.outcome === AppendOutcome.Appended) return;
      await sleep(this.clock, RETRY_MILLISECONDS);
    }
  }

  /** Reads the announcements of all daemons; returns false if the store did not respond. */
  async refresh(): Promise<boolean> {
    const result = await this.log.newestByKey(LogStream.Daemons);
    if (result.outcome !== ReadOutcome.Read) return false;
    for (const {key, value} of result.records)
      this.strongest = Math.max(this.strongest, this.parseStrength(key, value));
    return true;
  }

  private parseStrength(key: string, value: Buffer | undefined): number {
    try {
      const announcement = JSON.parse(String(value)) as {strength?: unknown};
      if (Number.isFinite(announcement.strength))
        return Number(announcement.strength);
      throw new TypeError('strength is missing or not a finite number');
    } catch (error) {
      this.logger.warn(LogEvent.RecordUnreadable, {
        stream: LogStream.Daemons,
        key,
        error: String(error),
      });
      return 0;
    }
  }
}

/** Bandwidth that the coordinator uses per processor core that it uses. */
const MEGABITS_PER_CORE = 40;

/**
 * Returns the load that a VM can carry as the coordinator, in cores: limited by its processor or
 * its link.
 */
export function coordinatorStrength(size: VmSize): number {
  return Math.min(size.cores, size.megabitsPerSecond / MEGABITS_PER_CORE);
}

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

/** What each daemon has told of the size of its VM; kept for good, so it also names daemons that are gone. */
export class DaemonRoster {
  private strongest = 0;

  constructor(
    private readonly log: RecordLog,
    private readonly node: string,
    /** What the VM can carry as the coordinator; any unit, the same on all daemons. */
    private readonly strength: number,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  /** Whether a clearly stronger daemon than this one has ever started. */
  get hasStrongerDaemon(): boolean {
    return this.strength < EQUAL_STRENGTH_SHARE * this.strongest;
  }

  /** Tells the others of this daemon; returns once that is stored or `isOver`. */
  async announce(isOver: () => boolean): Promise<void> {
    const value = Buffer.from(JSON.stringify({strength: this.strength}));
    while (!isOver()) {
      const result = await this.log.append(LogStream.Daemons, [
        {key: this.node, value},
      ]);
      if (result.outcome === AppendOutcome.Appended) return;
      await sleep(this.clock, RETRY_MILLISECONDS);
    }
  }

  /** Reads what the others have told; false when the store did not answer. */
  async refresh(): Promise<boolean> {
    const result = await this.log.newestByKey(LogStream.Daemons);
    if (result.outcome !== ReadOutcome.Read) return false;
    for (const {key, value} of result.records)
      this.strongest = Math.max(this.strongest, this.strengthIn(key, value));
    return true;
  }

  private strengthIn(key: string, value: Buffer | undefined): number {
    try {
      const told = JSON.parse(String(value)) as {strength?: unknown};
      if (Number.isFinite(told.strength)) return Number(told.strength);
      throw new TypeError('no strength');
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

/** Bandwidth that the coordinator uses for each core it uses. */
const MEGABITS_PER_CORE = 40;

/** What a VM can carry as the coordinator, in cores: the smaller of what its processor and its link allow. */
export function coordinatorStrength(size: VmSize): number {
  return Math.min(size.cores, size.megabitsPerSecond / MEGABITS_PER_CORE);
}

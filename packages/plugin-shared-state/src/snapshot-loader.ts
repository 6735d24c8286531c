import {LogEvent, type Logger} from '@gentiandoor/kernel';
import {
  LogGapError,
  SnapshotAssembler,
  StreamName,
  decodeSnapshot,
  type FleetState,
  type LogBatch,
  type PlatformLog,
  type WholeSnapshot,
} from '@gentiandoor/shared-state';
import {restOfLoop, type StateKeeper} from './state-keeper.js';

const READ_LIMIT = 100;

/** Finds the newest snapshot in the log that verifies. */
export class SnapshotLoader {
  constructor(
    private readonly platformLog: PlatformLog,
    private readonly logger: Logger,
    private readonly keeper: StateKeeper,
  ) {}

  /**
   * Takes the newest verified snapshot that is newer than what is here and not before
   * `oldest`; false when there is none. Throws `PlatformLogError`.
   */
  async load(oldest: number, stop: AbortSignal): Promise<boolean> {
    const found = await this.readAll(stop);
    const newestFirst = found
      .filter(snapshot => snapshot.offset >= oldest)
      .filter(snapshot => snapshot.offset > this.keeper.live.nextOffset)
      .sort((left, right) => right.offset - left.offset);
    for (const snapshot of newestFirst) {
      const state = await this.verified(snapshot);
      if (state && (await this.keeper.restore(state))) return true;
    }
    return false;
  }

  private async verified(
    snapshot: WholeSnapshot,
  ): Promise<FleetState | undefined> {
    const {trusted} = this.keeper.live;
    try {
      const state = await decodeSnapshot(snapshot.bytes, trusted, restOfLoop);
      if (state.nextOffset === snapshot.offset) return state;
      this.skip(`snapshot says offset ${snapshot.offset}, holds another`);
    } catch (error) {
      this.skip(`snapshot at offset ${snapshot.offset}: ${String(error)}`);
    }
    return undefined;
  }

  private async readAll(stop: AbortSignal): Promise<WholeSnapshot[]> {
    const assembler = new SnapshotAssembler(detail => this.skip(detail));
    const found: WholeSnapshot[] = [];
    let next = 0;
    for (;;) {
      const batch = await this.read(next, stop);
      for (const payload of batch.payloads) {
        const whole = assembler.take(payload);
        if (whole) found.push(whole);
      }
      next = batch.from + batch.payloads.length;
      if (batch.payloads.length === 0 || next >= batch.end) break;
    }
    assembler.finish();
    return found;
  }

  private async read(from: number, stop: AbortSignal): Promise<LogBatch> {
    const options = {limit: READ_LIMIT, waitMilliseconds: 0};
    try {
      return await this.platformLog.read(
        StreamName.Snapshots,
        from,
        options,
        stop,
      );
    } catch (error) {
      if (!(error instanceof LogGapError) || error.oldest <= from) throw error;
      return this.read(error.oldest, stop);
    }
  }

  private skip(detail: string): void {
    this.logger.warn(LogEvent.SnapshotSkipped, {detail});
  }
}

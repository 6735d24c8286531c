import {LogEvent, type Logger} from '@gentiandoor/kernel';
import {
  LogGapError,
  SnapshotAssembler,
  StreamName,
  decodeSnapshot,
  type FleetState,
  type LogBatch,
  type PlatformLog,
  type AssembledSnapshot,
} from '@gentiandoor/shared-state';
import {yieldToEventLoop, type StateReplica} from './state-replica.js';

const MAXIMUM_RECORDS_PER_READ = 100;

/** Loads the newest snapshot in the log that can be verified. */
export class SnapshotLoader {
  constructor(
    private readonly platformLog: PlatformLog,
    private readonly logger: Logger,
    private readonly replica: StateReplica,
  ) {}

  /**
   * Restores the newest verified snapshot that is newer than the present state and not before
   * `oldest`; returns false when there is none. Throws `PlatformLogError`.
   */
  async load(oldest: number, stop: AbortSignal): Promise<boolean> {
    const snapshots = await this.readAll(stop);
    const newestFirst = snapshots
      .filter(snapshot => snapshot.offset >= oldest)
      .filter(snapshot => snapshot.offset > this.replica.live.nextOffset)
      .sort((left, right) => right.offset - left.offset);
    for (const snapshot of newestFirst) {
      const state = await this.decodeVerified(snapshot);
      if (state && (await this.replica.restore(state))) return true;
    }
    return false;
  }

  private async decodeVerified(
    snapshot: AssembledSnapshot,
  ): Promise<FleetState | undefined> {
    const {trustedOperators} = this.replica.live;
    try {
      const state = await decodeSnapshot(
        snapshot.bytes,
        trustedOperators,
        yieldToEventLoop,
      );
      if (state.nextOffset === snapshot.offset) return state;
      this.logSkipped(
        `snapshot is labelled offset ${snapshot.offset} but its state has another offset`,
      );
    } catch (error) {
      this.logSkipped(
        `snapshot at offset ${snapshot.offset}: ${String(error)}`,
      );
    }
    return undefined;
  }

  private async readAll(stop: AbortSignal): Promise<AssembledSnapshot[]> {
    const assembler = new SnapshotAssembler(detail => this.logSkipped(detail));
    const snapshots: AssembledSnapshot[] = [];
    let nextOffset = 0;
    for (;;) {
      const batch = await this.read(nextOffset, stop);
      for (const payload of batch.payloads) {
        const snapshot = assembler.addChunk(payload);
        if (snapshot) snapshots.push(snapshot);
      }
      nextOffset = batch.from + batch.payloads.length;
      if (batch.payloads.length === 0 || nextOffset >= batch.end) break;
    }
    assembler.reportIncomplete();
    return snapshots;
  }

  private async read(from: number, stop: AbortSignal): Promise<LogBatch> {
    const options = {limit: MAXIMUM_RECORDS_PER_READ, waitMilliseconds: 0};
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

  private logSkipped(detail: string): void {
    this.logger.warn(LogEvent.SnapshotSkipped, {detail});
  }
}

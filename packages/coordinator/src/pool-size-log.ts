import {LogEvent, type Clock, type Logger} from '@gentiandoor/kernel';
import {wantedVms, type PlannedPool} from '@gentiandoor/scheduling';

/** Minimum interval between two log lines about one pool. */
const MINIMUM_LOG_INTERVAL_MILLISECONDS = 500;

interface LastLine {
  readonly at: number;
  readonly text: string;
}

/** Logs the inputs of each pool's size decision when they change. */
export class PoolSizeLog {
  private readonly last = new Map<string, LastLine>();

  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  /**
   * Logs the pools whose inputs changed. `demandAgeMilliseconds` is the age of the data
   * about jobs.
   */
  note(pools: readonly PlannedPool[], demandAgeMilliseconds: number): void {
    for (const pool of pools)
      if (!pool.standby) this.noteOne(pool, demandAgeMilliseconds);
  }

  private noteOne(pool: PlannedPool, demandAgeMilliseconds: number): void {
    const at = this.clock.monotonicMilliseconds();
    const before = this.last.get(pool.service);
    if (before && at - before.at < MINIMUM_LOG_INTERVAL_MILLISECONDS) return;
    const fields = logFieldsOf(pool);
    const text = JSON.stringify(fields);
    if (before?.text === text) return;
    this.last.set(pool.service, {at, text});
    this.logger.info(LogEvent.PoolSized, {
      ...fields,
      demandAgeMilliseconds: Math.round(demandAgeMilliseconds),
    });
  }
}

function logFieldsOf(pool: PlannedPool): Readonly<Record<string, unknown>> {
  const inVms = (millicores: number) =>
    Math.round((10 * millicores) / Math.max(1, pool.vmMillicores)) / 10;
  return {
    service: pool.service,
    usable: pool.usableVms,
    arriving: pool.incomingVms,
    movable: pool.vms.length,
    wanted: wantedVms(pool),
    usedVms: inVms(pool.usedMillicores),
    waitingVms: inVms(pool.waitingMillicores),
    arrivingWorkVms: inVms(pool.offeredLoadMillicores),
    waitingMilliseconds: Math.round(pool.waitingMilliseconds),
  };
}

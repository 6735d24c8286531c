import {
  LogEvent,
  sleep,
  supervise,
  type Clock,
  type Logger,
} from '@gentiandoor/kernel';
import type {KeyedRecord} from '@gentiandoor/jobs';
import {
  OrganisationRegistry,
  type KeyOwnerIndex,
  type KeyConfiguration,
  type OrganisationList,
} from '@gentiandoor/organisations';
import type {
  Configuration,
  MaintenanceWave,
  Queue,
  ServicePool,
} from './operator-records.js';
import {LogStream, type RecordLog} from './record-log.js';
import type {RecordFormats} from './record-formats.js';
import {StreamFollower, type StreamSink} from './stream-follower.js';

/** Read timeout; must stay below the time within which a configuration has to be in force. */
const WAIT_MILLISECONDS = 900;
const RETRY_MILLISECONDS = 150;

/** Follows what operators request: the latest configuration and the maintenance waves. */
export class OperatorView implements StreamSink, KeyConfiguration {
  readonly follower: StreamFollower;
  readonly organisations = new OrganisationRegistry();
  readonly waves = new Map<number, MaintenanceWave>();
  private latest: Configuration | undefined;
  private queuesByName = new Map<string, Queue>();
  /** Attempts of each queue that any configuration has named, as of the latest one that did. */
  private readonly attemptsByQueue = new Map<string, number>();
  private servicesByName = new Map<string, ServicePool>();
  private unreachableSince: number | undefined;
  private stopping = false;

  constructor(
    log: RecordLog,
    private readonly formats: RecordFormats,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {
    this.follower = new StreamFollower(
      log,
      LogStream.Operator,
      this,
      clock,
      logger,
      {skipsHistory: true},
    );
  }

  /** How long reads have failed; 0 while they succeed. */
  get unreachableMilliseconds(): number {
    if (this.unreachableSince === undefined) return 0;
    return this.clock.monotonicMilliseconds() - this.unreachableSince;
  }

  get keyOwners(): KeyOwnerIndex {
    return this.organisations.keyOwners;
  }

  /** Time since the current configuration was known to be the latest one. */
  get ageMilliseconds(): number {
    return this.follower.ageMilliseconds;
  }

  /** Reads the operators' records to their end; returns false if the store does not respond. */
  refresh(): Promise<boolean> {
    return this.follower.refresh();
  }

  /** The latest configuration; undefined until one was read. */
  get configuration(): Configuration | undefined {
    return this.latest;
  }

  /** Returns the queue of `host` with the longest path prefix that matches `path`. */
  queueFor(host: string, path: string): Queue | undefined {
    let longestMatch: Queue | undefined;
    for (const queue of this.latest?.queues ?? []) {
      if (queue.host !== host || !path.startsWith(queue.pathPrefix)) continue;
      if (
        !longestMatch ||
        queue.pathPrefix.length > longestMatch.pathPrefix.length
      )
        longestMatch = queue;
    }
    return longestMatch;
  }

  queue(name: string): Queue | undefined {
    return this.queuesByName.get(name);
  }

  /**
   * Returns the maximum number of attempts of the tasks of a queue, as the latest configuration says
   * that names it; undefined if none does.
   */
  maximumAttempts(queue: string): number | undefined {
    return this.attemptsByQueue.get(queue);
  }

  service(name: string): ServicePool | undefined {
    return this.servicesByName.get(name);
  }

  start(): void {
    void supervise({
      name: 'operator records',
      clock: this.clock,
      logger: this.logger,
      isStopped: () => this.stopping,
      run: () => this.run(),
    });
  }

  stop(): void {
    this.stopping = true;
  }

  apply(record: KeyedRecord): void {
    const operatorRecord = this.formats.operatorRecord(record);
    if (!operatorRecord) return;
    if (operatorRecord.kind === 'wave') this.applyWave(operatorRecord.wave);
    else this.applyConfiguration(operatorRecord.configuration);
  }

  private applyWave(wave: MaintenanceWave): void {
    if (!this.waves.has(wave.number))
      this.logger.info(LogEvent.WaveSeen, {...wave});
    this.waves.set(wave.number, wave);
  }

  private applyConfiguration(configuration: Configuration): void {
    // A reload from the latest records may return an older version than the one in force.
    if (this.latest && configuration.version <= this.latest.version) return;
    this.latest = configuration;
    this.queuesByName = new Map(
      configuration.queues.map(queue => [queue.name, queue]),
    );
    for (const {name, maximumAttempts} of configuration.queues)
      this.attemptsByQueue.set(name, maximumAttempts);
    this.servicesByName = new Map(
      configuration.services.map(service => [service.name, service]),
    );
    for (const {part, reason} of configuration.rejected ?? [])
      this.logger.warn(LogEvent.ConfigurationPartUnreadable, {
        version: configuration.version,
        part,
        reason,
      });
    const {organisations = NO_ORGANISATIONS} = configuration;
    this.applyOrganisations(organisations);
    this.logger.info(LogEvent.ConfigurationInForce, {
      version: configuration.version,
      queues: configuration.queues.length,
      services: configuration.services.length,
      organisations: organisations.organisations.length,
    });
  }

  private applyOrganisations(list: OrganisationList): void {
    this.organisations.replace(list);
    for (const {name, reason} of list.rejected)
      this.logger.warn(LogEvent.OrganisationUnreadable, {
        organisation: name,
        reason,
      });
    const {conflictingOrganisations} = this.organisations.keyOwners;
    if (conflictingOrganisations.length > 0)
      this.logger.warn(LogEvent.OrganisationKeyShared, {
        organisations: conflictingOrganisations,
      });
  }

  private async run(): Promise<void> {
    let isReachable = true;
    while (!this.stopping) {
      // While the store is unreachable reads do not wait: a waiting read would show only at its end
      // that the store is back.
      const waitMilliseconds = isReachable ? WAIT_MILLISECONDS : 0;
      const succeeded = await this.follower.follow(waitMilliseconds);
      if (succeeded !== isReachable) this.noteReachable(succeeded);
      isReachable = succeeded;
      if (!succeeded) await sleep(this.clock, RETRY_MILLISECONDS);
    }
  }

  private noteReachable(isReachable: boolean): void {
    const {ageMilliseconds} = this.follower;
    this.unreachableSince = isReachable
      ? undefined
      : this.clock.monotonicMilliseconds();
    if (isReachable) this.logger.info(LogEvent.StoreBack, {ageMilliseconds});
    else this.logger.warn(LogEvent.StoreLost, {ageMilliseconds});
  }
}

const NO_ORGANISATIONS: OrganisationList = {organisations: [], rejected: []};

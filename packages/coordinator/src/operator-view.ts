import {LogEvent, sleep, type Clock, type Logger} from '@gentiandoor/kernel';
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

/** What operators ask for: the newest configuration and the waves of maintenance. */
export class OperatorView implements StreamSink, KeyConfiguration {
  readonly follower: StreamFollower;
  readonly organisations = new OrganisationRegistry();
  readonly waves = new Map<number, MaintenanceWave>();
  private newest: Configuration | undefined;
  private queuesByName = new Map<string, Queue>();
  private servicesByName = new Map<string, ServicePool>();
  private unreachableFrom: number | undefined;
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

  /** How long no read has been answered; 0 while they are. */
  get unreachableMilliseconds(): number {
    if (this.unreachableFrom === undefined) return 0;
    return this.clock.monotonicMilliseconds() - this.unreachableFrom;
  }

  get keyOwners(): KeyOwnerIndex {
    return this.organisations.keyOwners;
  }

  /** Since the configuration at hand was the newest one for certain. */
  get ageMilliseconds(): number {
    return this.follower.ageMilliseconds;
  }

  /** Reads to the end of the operators' records; false when the store does not answer. */
  refresh(): Promise<boolean> {
    return this.follower.refresh();
  }

  /** Undefined until one was read. */
  get configuration(): Configuration | undefined {
    return this.newest;
  }

  /** The queue of a host with the longest prefix of `path`. */
  queueFor(host: string, path: string): Queue | undefined {
    let found: Queue | undefined;
    for (const queue of this.newest?.queues ?? []) {
      if (queue.host !== host || !path.startsWith(queue.pathPrefix)) continue;
      if (!found || queue.pathPrefix.length > found.pathPrefix.length)
        found = queue;
    }
    return found;
  }

  queue(name: string): Queue | undefined {
    return this.queuesByName.get(name);
  }

  service(name: string): ServicePool | undefined {
    return this.servicesByName.get(name);
  }

  start(): void {
    void this.run();
  }

  stop(): void {
    this.stopping = true;
  }

  apply(record: KeyedRecord): void {
    const read = this.formats.operatorRecord(record);
    if (!read) return;
    if (read.kind === 'wave') this.applyWave(read.wave);
    else this.applyConfiguration(read.configuration);
  }

  private applyWave(wave: MaintenanceWave): void {
    if (!this.waves.has(wave.number))
      this.logger.info(LogEvent.WaveSeen, {...wave});
    this.waves.set(wave.number, wave);
  }

  private applyConfiguration(configuration: Configuration): void {
    // Reading again from the newest records may bring an older version than the one in force.
    if (this.newest && configuration.version <= this.newest.version) return;
    this.newest = configuration;
    this.queuesByName = new Map(
      configuration.queues.map(queue => [queue.name, queue]),
    );
    this.servicesByName = new Map(
      configuration.services.map(service => [service.name, service]),
    );
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
    const {conflictingOrganisations: conflicts} = this.organisations.keyOwners;
    if (conflicts.length > 0)
      this.logger.warn(LogEvent.OrganisationKeyShared, {
        organisations: conflicts,
      });
  }

  private async run(): Promise<void> {
    let reachable = true;
    while (!this.stopping) {
      // A read that waits would show only when it ends that the store is back.
      const wait = reachable ? WAIT_MILLISECONDS : 0;
      const answered = await this.follower.follow(wait);
      if (answered !== reachable) this.noteReachable(answered);
      reachable = answered;
      if (!answered) await sleep(this.clock, RETRY_MILLISECONDS);
    }
  }

  private noteReachable(reachable: boolean): void {
    const {ageMilliseconds} = this.follower;
    this.unreachableFrom = reachable
      ? undefined
      : this.clock.monotonicMilliseconds();
    if (reachable) this.logger.info(LogEvent.StoreBack, {ageMilliseconds});
    else this.logger.warn(LogEvent.StoreLost, {ageMilliseconds});
  }
}

const NO_ORGANISATIONS: OrganisationList = {organisations: [], rejected: []};

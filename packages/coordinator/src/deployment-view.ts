import {JobState, JobTable, type KeyedRecord} from '@gentiandoor/jobs';
import {groupBy} from '@gentiandoor/kernel';
import {
  sumResources,
  type EntitlementLedger,
  type Organisation,
  type Resources,
} from '@gentiandoor/organisations';
import type {
  Configuration,
  MaintenanceWave,
  OperatorRecord,
} from './operator-records.js';
import {
  queueOrganisationsOf,
  resourcesOfLiveTasks,
  type QueueOrganisationView,
} from './queue-organisation-view.js';
import type {RecordFormats} from './record-formats.js';
import {LogStream, ReadOutcome, type RecordLog} from './record-log.js';
import {SUBMISSION_PARTITIONS} from './submission-log.js';
import {TERM_KEY, decodeTerm, type TermRecord} from './coordinator-election.js';
import type {WorkerEntry} from './worker-gateway.js';

/** Number of jobs of one queue by state. */
export interface QueueView {
  readonly queue: string;
  readonly service: string;
  readonly jobs: ReadonlyMap<JobState, number>;
}

/** Running and queued work of one organisation. */
export interface OrganisationView {
  readonly name: string;
  /** Undefined for an organisation that was removed from the configuration. */
  readonly settings: Organisation | undefined;
  /** Resources used by its runs that may be alive. */
  readonly running: Resources;
  /** Number of jobs of which no task has started yet. */
  readonly queued: number;
}

/** State of a deployment as read from its store. */
export interface DeploymentView {
  /** Undefined before the first term. */
  readonly term: TermRecord | undefined;
  readonly configuration: Configuration | undefined;
  readonly queues: readonly QueueView[];
  readonly organisations: readonly OrganisationView[];
  readonly queueOrganisations: readonly QueueOrganisationView[];
  readonly waves: readonly MaintenanceWave[];
  readonly workers: readonly WorkerEntry[];
  readonly table: JobTable;
  /** Number of records that could not be read. */
  readonly unreadable: number;
}

/** Creates the ledger that classifies jobs by the weights of these organisations. */
export type LedgerFactory = (
  organisations: readonly Organisation[],
) => EntitlementLedger;

/**
 * Reads the state of a deployment from its store alone; returns undefined if the store does not
 * respond. Without `createLedger`, jobs are not classified by entitlement.
 */
export async function readDeployment(
  log: RecordLog,
  formats: RecordFormats,
  createLedger?: LedgerFactory,
): Promise<DeploymentView | undefined> {
  const streams = [
    LogStream.Terms,
    LogStream.Operator,
    LogStream.Workers,
    LogStream.Jobs,
  ];
  const partitions = Array.from(
    {length: SUBMISSION_PARTITIONS},
    (_, partition) => log.newestByKey(LogStream.Submissions, partition),
  );
  const results = await Promise.all([
    ...streams.map(stream => log.newestByKey(stream)),
    ...partitions,
  ]);
  const streamRecords = results.flatMap(result =>
    result.outcome === ReadOutcome.Read ? [result.records] : [],
  );
  if (streamRecords.length < results.length) return undefined;
  const [terms, operator, workers, ...jobs] = streamRecords;
  const jobRecords = jobs.flat();
  return new ViewBuilder(formats, createLedger).build(
    terms,
    operator,
    workers,
    jobRecords,
  );
}

type Records = readonly KeyedRecord[];

class ViewBuilder {
  private unreadable = 0;

  constructor(
    private readonly formats: RecordFormats,
    private readonly createLedger: LedgerFactory | undefined,
  ) {}

  build(
    terms: Records,
    operator: Records,
    workers: Records,
    jobs: Records,
  ): DeploymentView {
    const operatorRecords = this.decodeEach(operator, record =>
      this.formats.operatorRecord(record),
    );
    const table = new JobTable();
    this.decodeEach(jobs, record => table.apply(record));
    const term = terms.find(record => record.key === TERM_KEY);
    const configuration = findConfiguration(operatorRecords);
    const ledger = this.createLedger?.(
      configuration?.organisations?.organisations ?? [],
    );
    return {
      term: term && decodeTerm(term),
      configuration,
      organisations: organisationsOf(table, configuration),
      queueOrganisations: queueOrganisationsOf(table, ledger),
      queues: queuesOf(table),
      waves: operatorRecords.flatMap(entry =>
        entry.kind === 'wave' ? [entry.wave] : [],
      ),
      workers: this.decodeEach(workers, record =>
        this.formats.workerEntry(record),
      ),
      table,
      unreadable: this.unreadable,
    };
  }

  /** Decodes all readable records and counts the others. */
  private decodeEach<Decoded>(
    records: Records,
    decode: (record: KeyedRecord) => Decoded | undefined,
  ): Decoded[] {
    return records.flatMap(record => {
      try {
        const decoded = decode(record);
        return decoded === undefined ? [] : [decoded];
      } catch {
        // A record of another writer; the view reports how many there are.
        this.unreadable++;
        return [];
      }
    });
  }
}

function findConfiguration(
  records: readonly OperatorRecord[],
): Configuration | undefined {
  for (const record of records)
    if (record.kind === 'configuration') return record.configuration;
  return undefined;
}

function queuesOf(table: JobTable): QueueView[] {
  const queues = new Map<
    string,
    {queue: string; service: string; jobs: Map<JobState, number>}
  >();
  for (const job of table.all()) {
    const {queue, service} = job.submission;
    let view = queues.get(queue);
    if (!view) queues.set(queue, (view = {queue, service, jobs: new Map()}));
    const state = table.stateOf(job);
    view.jobs.set(state, (view.jobs.get(state) ?? 0) + 1);
  }
  return [...queues.values()];
}

function organisationsOf(
  table: JobTable,
  configuration: Configuration | undefined,
): OrganisationView[] {
  const settings = new Map(
    configuration?.organisations?.organisations.map(organisation => [
      organisation.name,
      organisation,
    ]),
  );
  const jobs = groupBy(table.all(), job => job.submission.organisation);
  jobs.delete(undefined);
  const names = new Set([...settings.keys(), ...jobs.keys()]);
  return [...names].flatMap(name => {
    if (name === undefined) return [];
    const ownJobs = jobs.get(name) ?? [];
    const queued = ownJobs.filter(
      job => table.stateOf(job) === JobState.Queued,
    );
    return {
      name,
      settings: settings.get(name),
      running: sumResources(ownJobs.flatMap(resourcesOfLiveTasks)),
      queued: queued.length,
    };
  });
}

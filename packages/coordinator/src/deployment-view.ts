import {
  JobState,
  JobTable,
  type KeyedRecord,
  type StoredJob,
} from '@gentiandoor/jobs';
import {groupBy} from '@gentiandoor/kernel';
import {
  sumResources,
  type Organisation,
  type Resources,
} from '@gentiandoor/organisations';
import type {
  Configuration,
  MaintenanceWave,
  OperatorRecord,
} from './operator-records.js';
import type {RecordFormats} from './record-formats.js';
import {LogStream, ReadOutcome, type RecordLog} from './record-log.js';
import {SUBMISSION_PARTITIONS} from './submission-log.js';
import {TERM_KEY, decodeTerm, type TermRecord} from './coordinator-election.js';
import type {WorkerEntry} from './worker-gateway.js';

/** Jobs of one queue by state. */
export interface QueueView {
  readonly queue: string;
  readonly service: string;
  readonly jobs: ReadonlyMap<JobState, number>;
}

/** Work of one organisation. */
export interface OrganisationView {
  readonly name: string;
  /** Undefined for one that has left the configuration. */
  readonly settings: Organisation | undefined;
  /** What its runs take, as far as they may be alive. */
  readonly running: Resources;
  /** Jobs of which nothing has run yet. */
  readonly queued: number;
}

/** A deployment as its store tells of it. */
export interface DeploymentView {
  /** Undefined before the first term. */
  readonly term: TermRecord | undefined;
  readonly configuration: Configuration | undefined;
  readonly queues: readonly QueueView[];
  readonly organisations: readonly OrganisationView[];
  readonly waves: readonly MaintenanceWave[];
  readonly workers: readonly WorkerEntry[];
  readonly table: JobTable;
  /** Records that could not be read. */
  readonly unreadable: number;
}

/** Reads a deployment from its store alone; undefined when the store does not answer. */
export async function readDeployment(
  log: RecordLog,
  formats: RecordFormats,
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
  const read = results.flatMap(result =>
    result.outcome === ReadOutcome.Read ? [result.records] : [],
  );
  if (read.length < results.length) return undefined;
  const [terms, operator, workers, ...jobs] = read;
  const allOfJobs = jobs.flat();
  return new ViewBuilder(formats).build(terms, operator, workers, allOfJobs);
}

type Records = readonly KeyedRecord[];

class ViewBuilder {
  private unreadable = 0;

  constructor(private readonly formats: RecordFormats) {}

  build(
    terms: Records,
    operator: Records,
    workers: Records,
    jobs: Records,
  ): DeploymentView {
    const asked = this.readEach(operator, record =>
      this.formats.operatorRecord(record),
    );
    const table = new JobTable();
    this.readEach(jobs, record => table.apply(record));
    const term = terms.find(record => record.key === TERM_KEY);
    const configuration = configurationIn(asked);
    return {
      term: term && decodeTerm(term),
      configuration,
      organisations: organisationsOf(table, configuration),
      queues: queuesOf(table),
      waves: asked.flatMap(one => (one.kind === 'wave' ? [one.wave] : [])),
      workers: this.readEach(workers, record =>
        this.formats.workerEntry(record),
      ),
      table,
      unreadable: this.unreadable,
    };
  }

  /** Reads what can be read and counts the rest. */
  private readEach<Read>(
    records: Records,
    read: (record: KeyedRecord) => Read | undefined,
  ): Read[] {
    return records.flatMap(record => {
      try {
        const found = read(record);
        return found === undefined ? [] : [found];
      } catch {
        // Another writer's record: the view shows how many there are.
        this.unreadable++;
        return [];
      }
    });
  }
}

function configurationIn(
  asked: readonly OperatorRecord[],
): Configuration | undefined {
  for (const one of asked)
    if (one.kind === 'configuration') return one.configuration;
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
    configuration?.organisations?.organisations.map(one => [one.name, one]),
  );
  const jobs = groupBy(table.all(), job => job.submission.organisation);
  jobs.delete(undefined);
  const names = new Set([...settings.keys(), ...jobs.keys()]);
  return [...names].flatMap(name => {
    if (name === undefined) return [];
    const own = jobs.get(name) ?? [];
    const queued = own.filter(job => table.stateOf(job) === JobState.Queued);
    return {
      name,
      settings: settings.get(name),
      running: sumResources(own.flatMap(amountsUnderWay)),
      queued: queued.length,
    };
  });
}

/** Of each run that may be alive. */
function amountsUnderWay({submission, progress}: StoredJob): Resources[] {
  return [...progress.tasks]
    .filter(([, task]) => task.worker !== '')
    .flatMap(([key]) => submission?.steps[Number(key.split('.')[1])] ?? []);
}

import {
  readDeployment,
  WorkerState,
  type DeploymentView,
  type OrganisationView,
} from '@gentiandoor/coordinator';
import {JobState, type TaskProgress} from '@gentiandoor/jobs';
import {
  TokenBucketLedger,
  type EntitlementLedger,
  type Organisation,
} from '@gentiandoor/organisations';
import {
  HttpClient,
  PlatformRecordFormats,
  PlatformStore,
} from '@gentiandoor/platform';
import {
  printResult,
  readInput,
  type CommandContext,
  type CommonOptions,
} from '../command-context.js';
import {CommandError} from '../command-error.js';
import type {CommandDefinition} from '../command-registry.js';
import {ExitCode} from '../exit-codes.js';
import {formatColumns} from '../format-columns.js';
import {parseLogLines} from '../job-timeline.js';
import {workRows, type WorkRow} from '../work-rows.js';

interface StoreOptions extends CommonOptions {
  readonly store?: string;
}

interface ShowOptions extends StoreOptions {
  readonly log?: string;
}

const STORE_CONNECTIONS = 4;
const STORE_OPTION = [
  '--store',
  'Address of the platform’s store, IP number and port',
] as const;

/** Classifies the stored jobs as the coordinator does. */
function ledgerOf(organisations: readonly Organisation[]): EntitlementLedger {
  const weights = new Map(organisations.map(one => [one.name, one.weight]));
  return new TokenBucketLedger(name => weights.get(name) ?? 0);
}

async function readDeploymentView(
  options: StoreOptions,
): Promise<DeploymentView> {
  const {store} = options;
  if (!store)
    throw new CommandError(ExitCode.BadInput, 'expected --store ADDRESS');
  const client = new HttpClient(STORE_CONNECTIONS);
  const log = new PlatformStore(client, () => store);
  const view = await readDeployment(log, new PlatformRecordFormats(), ledgerOf);
  await client.closeAll();
  if (!view)
    throw new CommandError(
      ExitCode.Unreachable,
      `the store at ${store} does not answer`,
    );
  return view;
}

async function deployment(
  context: CommandContext,
  options: ShowOptions,
): Promise<void> {
  const logLines =
    options.log === undefined
      ? undefined
      : parseLogLines(readInput(context, options.log)).lines;
  const view = await readDeploymentView(options);
  const {term, configuration, waves, unreadable} = view;
  const summary = {
    coordinator: term?.released === false ? term.holder : 'none',
    term: term?.term ?? 0,
    configuration: configuration?.version ?? 'none',
    waves: waves.length,
    unreadable,
  };
  const queues = view.queues.map(({queue, service, jobs}) => ({
    queue,
    service,
    ...Object.fromEntries(
      Object.values(JobState).map(state => [state, jobs.get(state) ?? 0]),
    ),
  }));
  const pools = poolRows(view);
  const organisations = view.organisations.map(organisationRow);
  const work = workRows(view, logLines);
  const lines = [
    ...formatColumns(['what', 'value'], rowsOf(summary)),
    '',
    ...table(queues, ['queue', 'service', ...JOB_STATES]),
    '',
    ...table(pools, ['service', 'standby', 'ready', 'leaving']),
    ...(organisations.length > 0
      ? ['', ...table(organisations, ORGANISATION_COLUMNS)]
      : []),
    ...(work.length > 0
      ? ['', ...table(work.map(printedWorkRow), WORK_COLUMNS)]
      : []),
  ];
  printResult(
    context,
    options,
    {summary, queues, pools, organisations, work},
    lines,
  );
}

async function job(
  context: CommandContext,
  id: string,
  options: StoreOptions,
): Promise<void> {
  const view = await readDeploymentView(options);
  const entry = view.table.find(id);
  if (!entry)
    throw new CommandError(ExitCode.Failed, `the store has no job ${id}`);
  const tasks = [...entry.progress.tasks].map(([task, progress]) => ({
    task,
    ...taskRow(progress),
  }));
  const state = view.table.stateOf(entry);
  const {queue, service} = entry.submission;
  const lines = [
    `${id} in ${queue}: ${state}`,
    ...table(tasks, ['task', 'run', 'state', 'worker', 'failed']),
  ];
  printResult(context, options, {id, queue, service, state, tasks}, lines);
}

const ORGANISATION_COLUMNS = [
  'organisation',
  'keys',
  'weight',
  'cores',
  'limit',
  'queued',
];
const MILLICORES_PER_CORE = 1_000;

/** Returns an organisation's running cores, its limit in cores and its queued jobs. */
function organisationRow({
  name,
  settings,
  running,
  queued,
}: OrganisationView): object {
  const limit = settings?.limit.processorMillicores ?? 0;
  return {
    organisation: name,
    keys: settings?.keyDigests.length ?? 0,
    weight: settings?.weight ?? '-',
    cores: running.processorMillicores / MILLICORES_PER_CORE,
    limit: limit > 0 ? limit / MILLICORES_PER_CORE : 'none',
    queued,
  };
}

const WORK_COLUMNS = [
  'queue',
  'organisation',
  'weight',
  'limit',
  'cores',
  'waiting',
  'excess',
  'preempted',
  'lost core ms',
  'refused',
  'reasons',
];

/** Returns a row with the reasons of refusals as text. */
function printedWorkRow(row: WorkRow): object {
  const reasons = Object.entries(row.refusals).map(
    ([reason, count]) => `${count} ${reason}`,
  );
  return {
    ...row,
    'lost core ms': row.lostCoreMilliseconds,
    reasons: reasons.join(', ') || '-',
  };
}

const JOB_STATES: readonly string[] = Object.values(JobState);

function taskRow(progress: TaskProgress): {
  run: number;
  state: string;
  worker: string;
  failed: string;
  crashes: number;
} {
  const running = progress.worker === '' ? 'waiting' : 'running';
  return {
    run: progress.run,
    state: progress.done ? 'done' : running,
    worker: progress.worker || '-',
    failed: progress.failedRuns.join(' ') || '-',
    crashes: progress.crashes.total,
  };
}

function poolRows({configuration, workers}: DeploymentView): Array<{
  service: string;
  standby: boolean;
  ready: number;
  leaving: number;
}> {
  return (configuration?.services ?? []).map(({name, standby}) => {
    const poolWorkers = workers.filter(worker => worker.service === name);
    const leaving = poolWorkers.filter(
      worker => worker.state === WorkerState.Draining,
    ).length;
    return {
      service: name,
      standby,
      ready: poolWorkers.length - leaving,
      leaving,
    };
  });
}

function rowsOf(summary: object): string[][] {
  return Object.entries(summary).map(([name, value]) => [name, String(value)]);
}

function table(rows: readonly object[], columns: readonly string[]): string[] {
  const cells = rows.map(row => {
    const values = new Map(Object.entries(row));
    return columns.map(column => String(values.get(column) ?? ''));
  });
  return formatColumns(columns, cells);
}

/** Commands that read a deployment on the platform from its store only, without a daemon. */
export const deploymentCommands: readonly CommandDefinition[] = [
  {
    usage: 'deployment show',
    description:
      'Shows who gives the orders, queues, pools, waves and the work by queue and organisation, from the platform’s store; refusals and preemptions come from log lines.',
    examples: [
      'deployment show --store 10.200.1.7:8621',
      'deployment show --store 10.200.1.7:8621 --log day.log',
    ],
    options: [
      STORE_OPTION,
      [
        '--log',
        'Log lines of the daemons, a file or - for standard input; adds refusals and preemptions',
      ],
    ],
    run: deployment,
  },
  {
    usage: 'deployment job <id>',
    description: 'Shows the tasks and runs of a job, from the store alone.',
    examples: ['deployment job 5c0e7a21d94b36f8 --store 10.200.1.7:8621'],
    options: [STORE_OPTION],
    run: job,
  },
];

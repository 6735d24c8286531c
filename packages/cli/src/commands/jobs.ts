import type {
  CancelRequest,
  JobBody,
  JobRequest,
} from '@gentiandoor/plugin-fleet';
import type {CommandDefinition} from '../command-registry.js';
import {
  adminClient,
  readInput,
  printResult,
  type CommandContext,
  type CommonOptions,
} from '../command-context.js';
import {CommandError} from '../command-error.js';
import {ExitCode} from '../exit-codes.js';
import {formatColumns} from '../format-columns.js';
import {sendRecord} from '../send-record.js';

interface SubmitOptions extends CommonOptions {
  readonly pool?: string;
  readonly team?: string;
  readonly processors: number;
  readonly memory: number;
  readonly accelerators: number;
  readonly idempotent?: boolean;
  readonly payload?: string;
}

interface ListOptions extends CommonOptions {
  readonly state?: string;
}

async function submit(
  context: CommandContext,
  key: string,
  options: SubmitOptions,
): Promise<void> {
  if (!options.pool || !options.team) {
    throw new CommandError(
      ExitCode.BadInput,
      'expected --pool NAME and --team NAME',
    );
  }
  const body: JobRequest = {
    key,
    pool: options.pool,
    team: options.team,
    idempotent: options.idempotent === true,
    size: {
      processors: Number(options.processors),
      memoryGigabytes: Number(options.memory),
      accelerators: Number(options.accelerators),
      slots: 1,
    },
    payload: options.payload ? readInput(context, options.payload) : '',
  };
  await sendRecord(context, options, '/jobs', body, `job ${key} submitted`);
}

async function list(
  context: CommandContext,
  options: ListOptions,
): Promise<void> {
  const query = options.state
    ? `?state=${encodeURIComponent(options.state)}`
    : '';
  const jobs = (await adminClient(context, options).get(
    `/jobs${query}`,
  )) as JobBody[];
  const rows = jobs.map(job => [
    job.key,
    job.team,
    job.pool,
    job.state,
    job.vm ?? '',
    job.reason ?? '',
  ]);
  const headings = ['job', 'team', 'pool', 'state', 'VM', 'why'];
  printResult(context, options, jobs, formatColumns(headings, rows));
}

function cancel(
  context: CommandContext,
  key: string,
  options: CommonOptions,
): Promise<void> {
  const otherKeys = (options as {_?: string[]})._ ?? [];
  const body: CancelRequest = {keys: [key, ...otherKeys]};
  return sendRecord(
    context,
    options,
    '/jobs/cancel',
    body,
    `${body.keys.length} jobs cancelled`,
  );
}

/** Commands for jobs. */
export const jobCommands: readonly CommandDefinition[] = [
  {
    usage: 'job submit <key>',
    description: 'Submits a job; the same key again is the same job.',
    examples: [
      'job submit badge-run-7 --pool school-emblems --team cooperatives --processors 4 --memory 8 --payload run.txt',
    ],
    options: [
      ['--pool', 'Pool whose VMs run it'],
      ['--team', 'Team whose quota it uses'],
      ['--processors', 'Processors that it asks for', 1],
      ['--memory', 'Gigabytes of memory', 1],
      ['--accelerators', 'Accelerators', 0],
      [
        '--idempotent',
        'It may be run again; without this it runs at most once',
      ],
      ['--payload', 'File with what to run'],
    ],
    run: submit,
  },
  {
    usage: 'job list',
    description: 'Lists jobs.',
    examples: ['job list --state queued'],
    options: [['--state', 'Only jobs in this state']],
    run: list,
  },
  {
    usage: 'job cancel <key>',
    description: 'Cancels jobs by their keys.',
    examples: ['job cancel badge-run-7', 'job cancel badge-run-7 badge-run-8'],
    run: cancel,
  },
];

import type {
  BudgetsBody,
  DrainRequest,
  MoveRequest,
  PoolBody,
  ReturnRequest,
  VmBody,
  WaveBody,
  WaveRequest,
} from '@gentiandoor/plugin-fleet';
import type {CommandDefinition} from '../command-registry.js';
import {
  adminClient,
  printResult,
  type CommandContext,
  type CommonOptions,
} from '../command-context.js';
import {CommandError} from '../command-error.js';
import {ExitCode} from '../exit-codes.js';
import {formatColumns} from '../format-columns.js';
import {sendRecord} from '../send-record.js';
import {vmState} from '../vm-state.js';

/** Options of a command that requires a reason. */
export interface ReasonOptions extends CommonOptions {
  readonly reason?: string;
}

interface VmListOptions extends CommonOptions {
  readonly pool?: string;
}

interface WaveStartOptions extends ReasonOptions {
  readonly pools?: string;
  readonly 'data-centres'?: string;
}

type WaveAction = WaveRequest['action'];

/** Returns the given reason; throws `CommandError` if there is none. */
export function requireReason(options: ReasonOptions): string {
  if (options.reason) return options.reason;
  throw new CommandError(
    ExitCode.BadInput,
    'expected --reason TEXT: it is kept and shown by explain',
  );
}

async function listVms(
  context: CommandContext,
  options: VmListOptions,
): Promise<void> {
  const query = options.pool ? `?pool=${encodeURIComponent(options.pool)}` : '';
  const vms = (await adminClient(context, options).get(
    `/fleet/vms${query}`,
  )) as VmBody[];
  const rows = vms.map(vm => [
    vm.id,
    vm.pool,
    vm.rack,
    vm.dataCentre,
    vm.condition,
    vmState(vm),
  ]);
  const headings = ['VM', 'pool', 'rack', 'data centre', 'condition', 'state'];
  printResult(context, options, vms, formatColumns(headings, rows));
}

async function listPools(
  context: CommandContext,
  options: CommonOptions,
): Promise<void> {
  const pools = (await adminClient(context, options).get(
    '/fleet/pools',
  )) as PoolBody[];
  const rows = pools.map(pool => [
    pool.pool,
    String(pool.owned),
    String(pool.desired),
    String(pool.available),
    String(pool.planned),
    String(pool.queuedJobs),
    pool.services.join(', '),
  ]);
  const headings = [
    'pool',
    'owned',
    'desired',
    'available',
    'planned',
    'queued jobs',
    'services',
  ];
  printResult(context, options, pools, formatColumns(headings, rows));
}

async function showBudgets(
  context: CommandContext,
  options: CommonOptions,
): Promise<void> {
  const body = (await adminClient(context, options).get(
    '/fleet/budgets',
  )) as BudgetsBody;
  const lines = body.services.map(standing => JSON.stringify(standing));
  const broken =
    body.broken.length > 0
      ? `BROKEN: ${body.broken.join(', ')}; planned work is stopped`
      : 'every budget is met';
  printResult(context, options, body, [broken, ...lines]);
}

function drainVm(
  context: CommandContext,
  vm: string,
  options: ReasonOptions,
): Promise<void> {
  const body: DrainRequest = {vm, reason: requireReason(options)};
  return sendRecord(
    context,
    options,
    '/fleet/drains',
    body,
    `drain of ${vm} started`,
  );
}

function returnVm(
  context: CommandContext,
  vm: string,
  options: CommonOptions,
): Promise<void> {
  const body: ReturnRequest = {vm};
  return sendRecord(context, options, '/fleet/returns', body, `${vm} returned`);
}

function moveVm(
  context: CommandContext,
  vm: string,
  toPool: string,
  options: ReasonOptions,
): Promise<void> {
  const body: MoveRequest = {
    action: 'start',
    vm,
    toPool,
    reason: requireReason(options),
  };
  return sendRecord(
    context,
    options,
    '/fleet/moves',
    body,
    `move of ${vm} to ${toPool} started`,
  );
}

function abortMove(
  context: CommandContext,
  vm: string,
  options: ReasonOptions,
): Promise<void> {
  const body: MoveRequest = {
    action: 'abort',
    vm,
    reason: requireReason(options),
  };
  return sendRecord(
    context,
    options,
    '/fleet/moves',
    body,
    `move of ${vm} aborted`,
  );
}

function startWave(
  context: CommandContext,
  wave: string,
  options: WaveStartOptions,
): Promise<void> {
  const body: WaveRequest = {
    action: 'start',
    wave,
    reason: requireReason(options),
    scope: {
      pools: options.pools?.split(','),
      dataCentres: options['data-centres']?.split(','),
    },
  };
  return sendRecord(
    context,
    options,
    '/fleet/waves',
    body,
    `wave ${wave} started`,
  );
}

function waveChangeCommand(action: WaveAction, resultText: string) {
  return (
    context: CommandContext,
    wave: string,
    options: ReasonOptions,
  ): Promise<void> => {
    const body: WaveRequest = {action, wave, reason: requireReason(options)};
    return sendRecord(
      context,
      options,
      '/fleet/waves',
      body,
      `wave ${wave} ${resultText}`,
    );
  };
}

async function showWaves(
  context: CommandContext,
  options: CommonOptions,
): Promise<void> {
  const waves = (await adminClient(context, options).get(
    '/fleet/waves',
  )) as WaveBody[];
  const rows = waves.map(wave => [
    wave.id,
    wave.state,
    `${wave.done} of ${wave.total}`,
    String(wave.active),
    String(wave.failed),
    String(wave.handedOver),
    forecastOf(wave),
    wave.stateReason,
  ]);
  const headings = [
    'wave',
    'state',
    'done',
    'active',
    'failed',
    'handed over',
    'to the end',
    'why',
  ];
  printResult(context, options, waves, formatColumns(headings, rows));
}

function forecastOf({forecastMilliseconds}: WaveBody): string {
  if (forecastMilliseconds === undefined) return 'not known yet';
  return `${Math.round(forecastMilliseconds / 60_000)} min`;
}

/** The option that `requireReason` reads. */
export const REASON_OPTION = [
  '--reason',
  'Why; kept and shown by explain',
] as const;

/** Commands for VMs, pools and budgets. */
export const vmCommands: readonly CommandDefinition[] = [
  {
    usage: 'vm list',
    description: 'Lists VMs with their pool, condition and planned work.',
    examples: ['vm list', 'vm list --pool counter-preview'],
    options: [['--pool', 'Only VMs that this pool owns']],
    run: listVms,
  },
  {
    usage: 'vm drain <vm>',
    description: 'Takes a VM out of new work, within the budgets.',
    examples: ['vm drain hall-a-r1-1 --reason "disk light"'],
    options: [REASON_OPTION],
    run: drainVm,
  },
  {
    usage: 'vm return <vm>',
    description:
      'Ends a drain, or takes back a VM that was handed over to operators.',
    examples: ['vm return hall-a-r1-1'],
    run: returnVm,
  },
  {
    usage: 'vm move <vm> <pool>',
    description:
      'Moves a VM to another pool: drain, acknowledgement by every daemon, new owner.',
    examples: ['vm move hall-a-r1-3 school-emblems --reason "start of term"'],
    options: [REASON_OPTION],
    run: moveVm,
  },
  {
    usage: 'vm abort-move <vm>',
    description: 'Ends a move that has not reached its new owner yet.',
    examples: ['vm abort-move hall-a-r1-3 --reason "wrong VM"'],
    options: [REASON_OPTION],
    run: abortMove,
  },
  {
    usage: 'pool list',
    description: 'Lists pools with what they own, want and have available.',
    examples: ['pool list --json'],
    run: listPools,
  },
  {
    usage: 'budget list',
    description: 'Shows how each service stands to its budget.',
    examples: ['budget list'],
    run: showBudgets,
  },
];

/** Commands for maintenance waves. */
export const maintenanceCommands: readonly CommandDefinition[] = [
  {
    usage: 'maintenance start <wave>',
    description:
      'Starts a wave that reboots VMs by failure domain within the budgets.',
    examples: [
      'maintenance start december --reason "kernel update" --data-centres hall-a,hall-b',
    ],
    options: [
      REASON_OPTION,
      ['--pools', 'Only VMs of these pools, comma-separated'],
      ['--data-centres', 'Only VMs in these data centres, comma-separated'],
    ],
    run: startWave,
  },
  {
    usage: 'maintenance hold <wave>',
    description: 'Lets what runs finish and starts nothing new.',
    examples: ['maintenance hold december --reason "exam week"'],
    options: [REASON_OPTION],
    run: waveChangeCommand('hold', 'held'),
  },
  {
    usage: 'maintenance resume <wave>',
    description: 'Goes on with a held or stopped wave.',
    examples: ['maintenance resume december --reason "cause found"'],
    options: [REASON_OPTION],
    run: waveChangeCommand('resume', 'resumed'),
  },
  {
    usage: 'maintenance abort <wave>',
    description: 'Ends a wave; VMs under way are returned.',
    examples: ['maintenance abort december --reason "wrong image"'],
    options: [REASON_OPTION],
    run: waveChangeCommand('abort', 'aborted'),
  },
  {
    usage: 'maintenance status',
    description: 'Shows all waves with progress and forecast.',
    examples: ['maintenance status'],
    run: showWaves,
  },
];

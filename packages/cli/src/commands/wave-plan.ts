import type {WavePreviewBody} from '@gentiandoor/plugin-fleet';
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

interface PlanOptions extends CommonOptions {
  readonly wave?: string;
  readonly pools?: string;
  readonly 'data-centres'?: string;
}

async function planWave(
  context: CommandContext,
  options: PlanOptions,
): Promise<void> {
  const plan = (await adminClient(context, options).get(
    `/fleet/waves/preview?${queryOf(options)}`,
  )) as WavePreviewBody;
  const rows = plan.order.map(({dataCentre, rack, vms}) => [
    dataCentre,
    rack,
    String(vms),
  ]);
  const reasons = [
    ...plan.heldBack,
    ...plan.turnedDown.map(
      ({choice, because}) => `cannot ${choice}: ${because}`,
    ),
  ];
  printResult(context, options, plan, [
    `${plan.left} VMs are left, ${plan.active} are under way, at most ${plan.limit} at one time now`,
    `would take now: ${plan.next.join(', ') || 'none'}`,
    ...reasons.map(reason => `held back: ${reason}`),
    ...formatColumns(['data centre', 'rack', 'VMs'], rows),
  ]);
}

function queryOf(options: PlanOptions): URLSearchParams {
  const {wave, pools, 'data-centres': dataCentres} = options;
  const hasScope = pools !== undefined || dataCentres !== undefined;
  if (wave !== undefined && hasScope) {
    throw new CommandError(
      ExitCode.BadInput,
      'expected --wave NAME for a wave that was started, or --pools and --data-centres for one that was not',
    );
  }
  const query = new URLSearchParams();
  if (wave !== undefined) query.set('wave', wave);
  if (pools !== undefined) query.set('pools', pools);
  if (dataCentres !== undefined) query.set('dataCentres', dataCentres);
  return query;
}

/** Commands that preview a maintenance wave. */
export const wavePlanCommands: readonly CommandDefinition[] = [
  {
    usage: 'maintenance plan',
    description:
      'Shows what a wave would do now: its order, how many at one time, what holds it back. Changes nothing.',
    examples: [
      'maintenance plan --data-centres hall-a',
      'maintenance plan --wave december --json',
    ],
    options: [
      ['--wave', 'A wave that was started'],
      ['--pools', 'Only VMs of these pools, comma-separated'],
      ['--data-centres', 'Only VMs in these data centres, comma-separated'],
    ],
    run: planWave,
  },
];

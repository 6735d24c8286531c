import type {MemberBody, MemberRemovalRequest} from '@gentiandoor/plugin-fleet';
import type {CommandDefinition} from '../command-registry.js';
import {
  adminClient,
  printResult,
  type CommandContext,
  type CommonOptions,
} from '../command-context.js';
import {formatColumns} from '../format-columns.js';
import {sendRecord} from '../send-record.js';
import {REASON_OPTION, requireReason, type ReasonOptions} from './fleet.js';

/** Maximum number of VMs shown per row; `--json` shows all. */
const MAXIMUM_VMS_SHOWN = 5;

async function listMembers(
  context: CommandContext,
  options: CommonOptions,
): Promise<void> {
  const members = (await adminClient(context, options).get(
    '/fleet/members',
  )) as MemberBody[];
  const rows = members.map(member => [
    member.name,
    member.dataCentre,
    member.peerAddress,
    member.linked ? 'yes' : 'NO',
    member.plans ? 'plans' : '',
    formatVmNames(member.holdsUp),
  ]);
  const headings = [
    'daemon',
    'data centre',
    'peer address',
    'linked',
    'role',
    'holds up',
  ];
  printResult(context, options, members, formatColumns(headings, rows));
}

function formatVmNames(vms: readonly string[]): string {
  const names = vms.slice(0, MAXIMUM_VMS_SHOWN).join(', ');
  const hiddenCount = vms.length - MAXIMUM_VMS_SHOWN;
  return hiddenCount > 0 ? `${names} and ${hiddenCount} more` : names;
}

async function removeMember(
  context: CommandContext,
  name: string,
  options: ReasonOptions,
): Promise<void> {
  const body: MemberRemovalRequest = {name, reason: requireReason(options)};
  context.printDiagnostic(
    `gentiandoor: ${name} must really be stopped: moves go on without its word, and a daemon that still runs could send a request to a VM that was given away`,
  );
  await sendRecord(
    context,
    options,
    '/fleet/members/removals',
    body,
    `${name} taken out of the members`,
  );
}

/** Commands for the membership of daemons. */
export const memberCommands: readonly CommandDefinition[] = [
  {
    usage: 'member list',
    description:
      'Lists the daemons that are members, and the VMs whose drain waits for each.',
    examples: ['member list', 'member list --json'],
    run: listMembers,
  },
  {
    usage: 'member remove <name>',
    description:
      'Takes out a crashed daemon that holds up moves. It must really be stopped: refused while a link to it is up.',
    examples: ['member remove entry-hall-a-2 --reason "host is dead"'],
    options: [REASON_OPTION],
    run: removeMember,
  },
];

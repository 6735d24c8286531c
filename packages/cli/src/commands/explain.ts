import type {ExplainBody, VmBody} from '@gentiandoor/plugin-fleet';
import {SubjectKind, type JournalEntry} from '@gentiandoor/kernel';
import type {CommandDefinition} from '../command-registry.js';
import {vmState} from '../vm-state.js';
import {
  adminClient,
  show,
  type CommandContext,
  type CommonOptions,
} from '../command-context.js';

async function explain(
  context: CommandContext,
  subject: string,
  id: string,
  options: CommonOptions,
): Promise<void> {
  const query = `subject=${encodeURIComponent(subject)}&id=${encodeURIComponent(id)}`;
  const body = (await adminClient(context, options).get(
    `/explain?${query}`,
  )) as ExplainBody;
  const now =
    subject === SubjectKind.Vm ? await vmNow(context, options, id) : [];
  const lines = [...now, ...body.decisions.flatMap(describe)];
  const nothing = `this daemon took no decision about ${subject} ${id}; the planner is ${body.planner || 'not known'}, ask its admin port`;
  show(context, options, body, lines.length > 0 ? lines : [nothing]);
}

/** What is planned on the VM, which may be an operator's doing and no decision of a daemon. */
async function vmNow(
  context: CommandContext,
  options: CommonOptions,
  id: string,
): Promise<string[]> {
  const client = adminClient(context, options);
  const vms = (await client.get(
    `/fleet/vms?id=${encodeURIComponent(id)}`,
  )) as VmBody[];
  return vms.map(vm => `now: pool ${vm.pool}, ${vm.condition}, ${vmState(vm)}`);
}

function describe(entry: JournalEntry): string[] {
  const evidence = Object.entries(entry.evidence).map(
    ([name, value]) => `${name}=${value}`,
  );
  const turnedDown = (entry.turnedDown ?? []).map(
    ({choice, because}) => `    turned down: ${choice}, because ${because}`,
  );
  return [
    `${new Date(entry.at).toISOString()} ${entry.decision}`,
    `    cause: ${entry.cause}`,
    `    rule: ${entry.rule}`,
    `    evidence: ${evidence.join(', ') || 'none'}`,
    ...turnedDown,
  ];
}

/** Commands that tell why. */
export const explainCommands: readonly CommandDefinition[] = [
  {
    usage: 'explain <subject> <id>',
    description:
      'Tells why something was decided about a vm, pool, service, job, wave, request, bundle or daemon.',
    examples: ['explain vm hall-a-r1-1', 'explain wave december --json'],
    run: explain,
  },
];

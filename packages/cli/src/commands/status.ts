import type {StatusView} from '@gentiandoor/plugin-admin';
import type {CommandDefinition} from '../command-registry.js';
import {
  adminClient,
  printResult,
  type CommandContext,
  type CommonOptions,
} from '../command-context.js';

async function status(
  context: CommandContext,
  options: CommonOptions,
): Promise<void> {
  const view = (await adminClient(context, options).get(
    '/status',
  )) as StatusView;
  const {daemon, bundle} = view;
  printResult(context, options, view, [
    `daemon ${daemon.name} in ${daemon.dataCentre}, incarnation ${daemon.incarnation}${view.draining ? ', draining' : ''}`,
    bundle
      ? `bundle: version ${bundle.version} in force since offset ${bundle.offset}`
      : 'bundle: none in force',
    `log: ${view.logReachable ? 'reachable' : 'NOT reachable, serving with the last state'}, offset ${view.offset}`,
    `members: ${view.members.map(member => `${member.name} (${member.dataCentre})`).join(', ') || 'none'}`,
    `VMs: ${view.vmCount} owned by pools, ${view.listedVms} in the platform\u2019s list`,
  ]);
}

async function metrics(
  context: CommandContext,
  options: CommonOptions,
): Promise<void> {
  const values = (await adminClient(context, options).get(
    '/metrics',
  )) as Record<string, number>;
  const lines = Object.entries(values).map(
    ([name, value]) => `${name} ${value}`,
  );
  printResult(context, options, values, lines);
}

/** Commands that show a daemon's state. */
export const statusCommands: readonly CommandDefinition[] = [
  {
    usage: 'status',
    description: 'Shows what a daemon has in force and sees.',
    examples: ['status --admin 127.0.0.1:7900', 'status --json'],
    run: status,
  },
  {
    usage: 'metrics',
    description: 'Shows the counters of a daemon.',
    examples: ['metrics --json'],
    run: metrics,
  },
];

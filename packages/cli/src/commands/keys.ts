import {generateOperatorKeys} from '@gentiandoor/shared-state';
import type {CommandDefinition} from '../command-registry.js';
import {
  printResult,
  type CommandContext,
  type CommonOptions,
} from '../command-context.js';

async function makeKeys(
  context: CommandContext,
  options: CommonOptions,
): Promise<void> {
  const keys = generateOperatorKeys();
  printResult(context, options, keys, [
    `public_key = ${keys.publicKey}`,
    `private_key = ${keys.privateKey}`,
  ]);
}

/** Commands for operators' keys. */
export const keyCommands: readonly CommandDefinition[] = [
  {
    usage: 'keys make',
    description:
      'Makes an Ed25519 key pair. The public key goes into the bundle, the private one stays with the operator.',
    examples: ['keys make'],
    run: makeKeys,
  },
];

import type {BundlesView, PublishResult} from '@gentiandoor/plugin-admin';
import {BundleError, sleep} from '@gentiandoor/kernel';
import {
  parseBundle,
  signBundle,
  type Bundle,
  type BundleHistoryEntry,
} from '@gentiandoor/shared-state';
import {bundleDifference, describeChange} from '../bundle-difference.js';
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
import {printPublishResult} from '../publish-result.js';
import {withProgress} from '../with-progress.js';

/** Interval of attempts to read back a proposal; a daemon reads the log at least twice a second. */
const READ_BACK_INTERVAL_MILLISECONDS = 100;
const MAXIMUM_READ_BACKS = 15;

interface DiffOptions extends CommonOptions {
  readonly against?: string;
}

interface SignOffOptions extends CommonOptions {
  readonly operator?: string;
  readonly 'private-key'?: string;
}

async function check(
  context: CommandContext,
  file: string,
  options: CommonOptions,
): Promise<void> {
  const bundle = parseFile(context, file);
  const summary = {
    version: bundle.version,
    base: bundle.base,
    pools: Object.keys(bundle.pools).length,
    services: Object.keys(bundle.services).length,
    vms: Object.values(bundle.pools).reduce(
      (sum, pool) => sum + pool.vms.length,
      0,
    ),
  };
  printResult(context, options, summary, [
    `${file}: version ${summary.version} on base ${summary.base}: ${summary.pools} pools, ${summary.services} services, ${summary.vms} VMs; no problem found`,
  ]);
}

async function diff(
  context: CommandContext,
  file: string,
  options: DiffOptions,
): Promise<void> {
  const after = readInput(context, file);
  const before = options.against
    ? readInput(context, options.against)
    : ((await readBundles(context, options)).inForce?.text ?? '');
  const changes = bundleDifference(before, after);
  const lines = changes.map(describeChange);
  printResult(
    context,
    options,
    changes,
    lines.length > 0 ? lines : ['no difference'],
  );
}

async function propose(
  context: CommandContext,
  file: string,
  options: CommonOptions,
): Promise<void> {
  const text = readInput(context, file);
  const {version} = parseText(text, file);
  const result = await withProgress(
    context,
    'waiting for the platform\u2019s log',
    adminClient(context, options).post('/bundles/proposals', {text}),
  );
  printPublishResult(
    context,
    options,
    result as PublishResult,
    `version ${version} proposed`,
  );
}

async function signOff(
  context: CommandContext,
  version: string,
  options: SignOffOptions,
): Promise<void> {
  const {operator} = options;
  const keyFile = options['private-key'];
  if (operator === undefined || keyFile === undefined) {
    throw new CommandError(
      ExitCode.BadInput,
      'expected --operator NAME and --private-key FILE',
    );
  }
  const {digest} = await findProposal(context, options, Number(version));
  const privateKey = privateKeyOf(readInput(context, keyFile));
  const signature = sign(privateKey, Number(version), digest, keyFile);
  const result = await withProgress(
    context,
    'waiting for the platform\u2019s log',
    adminClient(context, options).post('/bundles/sign-offs', {
      version: Number(version),
      digest,
      operator,
      signature,
    }),
  );
  printPublishResult(
    context,
    options,
    result as PublishResult,
    `version ${version} signed off`,
  );
}

/** Returns the private key from the output of `keys make`, or the text itself if it is a bare key. */
function privateKeyOf(text: string): string {
  const line = /^private_key\s*=\s*(\S+)$/m.exec(text);
  return line ? line[1] : text.trim();
}

function sign(
  privateKey: string,
  version: number,
  digest: string,
  file: string,
): string {
  try {
    return signBundle(privateKey, version, digest);
  } catch {
    throw new CommandError(
      ExitCode.BadInput,
      `${file}: expected a private key as \`gentiandoor keys make\` prints it`,
    );
  }
}

async function findProposal(
  context: CommandContext,
  options: CommonOptions,
  version: number,
) {
  let {proposals} = await readBundles(context, options);
  const findMatching = () =>
    proposals.filter(proposal => proposal.version === version);
  // A proposal is stored before the daemon has read it back from the log. Without this wait, a
  // sign-off less than a third of a second after its proposal, as in a script, failed because the
  // daemon did not know the proposal yet.
  for (
    let attempt = 0;
    attempt < MAXIMUM_READ_BACKS && findMatching().length === 0;
    attempt++
  ) {
    await sleep(context.clock, READ_BACK_INTERVAL_MILLISECONDS);
    ({proposals} = await readBundles(context, options));
  }
  const matching = findMatching();
  if (matching.length === 1) return matching[0];
  const versions =
    proposals.map(proposal => proposal.version).join(', ') || 'none';
  throw new CommandError(
    ExitCode.BadInput,
    `${matching.length} proposals of version ${version}; proposed versions: ${versions}`,
  );
}

async function status(
  context: CommandContext,
  options: CommonOptions,
): Promise<void> {
  const view = await readBundles(context, options);
  const {inForce, proposals} = view;
  const lines = [
    inForce
      ? `in force: version ${inForce.version} by ${inForce.author}, digest ${inForce.digest}, offset ${inForce.offset}`
      : 'in force: none',
    ...proposals.map(
      proposal =>
        `proposed: version ${proposal.version} by ${proposal.author}, signed off by ${proposal.signers.join(', ') || 'nobody'} (${proposal.signers.length} of ${proposal.signOffsNeeded})`,
    ),
  ];
  printResult(context, options, view, lines);
}

async function history(
  context: CommandContext,
  options: CommonOptions,
): Promise<void> {
  const past = (await adminClient(context, options).get(
    '/bundles/history',
  )) as BundleHistoryEntry[];
  const rows = past.map(bundle => [
    String(bundle.version),
    bundle.author,
    bundle.signers.join(', '),
    String(bundle.offset),
    bundle.digest,
  ]);
  const headings = ['version', 'author', 'signed off by', 'offset', 'digest'];
  printResult(context, options, past, formatColumns(headings, rows));
}

interface RollOutView {
  readonly daemon: {readonly name: string};
  readonly version: number;
  readonly offset: number;
  readonly isLogReachable: boolean;
  readonly peers: ReadonlyArray<{
    readonly name: string;
    readonly dataCentre: string;
    readonly version: number;
    readonly offset: number;
    readonly isLogReachable: boolean;
    /** Delay after this daemon, in milliseconds; undefined while it has another version. */
    readonly tookMilliseconds?: number;
  }>;
}

async function rollOut(
  context: CommandContext,
  options: CommonOptions,
): Promise<void> {
  const view = (await adminClient(context, options).get(
    '/roll-out',
  )) as RollOutView;
  const self = [
    view.daemon.name,
    '',
    String(view.version),
    '',
    logReachability(view),
  ];
  const peers = view.peers.map(peer => [
    peer.name,
    peer.dataCentre,
    String(peer.version),
    peer.tookMilliseconds === undefined
      ? 'not known'
      : `${Math.round(peer.tookMilliseconds)} ms`,
    logReachability(peer),
  ]);
  const headings = ['daemon', 'data centre', 'version', 'after', 'log'];
  printResult(
    context,
    options,
    view,
    formatColumns(headings, [self, ...peers]),
  );
}

function logReachability({
  isLogReachable,
}: {
  readonly isLogReachable: boolean;
}): string {
  return isLogReachable ? 'reachable' : 'NOT reachable';
}

async function readBundles(
  context: CommandContext,
  options: CommonOptions,
): Promise<BundlesView> {
  return (await adminClient(context, options).get('/bundles')) as BundlesView;
}

function parseFile(context: CommandContext, file: string): Bundle {
  return parseText(readInput(context, file), file);
}

function parseText(text: string, file: string): Bundle {
  try {
    return parseBundle(text);
  } catch (error) {
    if (!(error instanceof BundleError)) throw error;
    throw new CommandError(
      ExitCode.BadInput,
      `${file} cannot be accepted:\n${error.message}`,
    );
  }
}

/** Commands for bundles. */
export const bundleCommands: readonly CommandDefinition[] = [
  {
    usage: 'bundle check <file>',
    description: 'Checks a bundle without sending it.',
    examples: ['bundle check examples/kingston/bundle.ini'],
    run: check,
  },
  {
    usage: 'bundle diff <file>',
    description:
      'Shows what a bundle changes against the one in force, or against another file.',
    examples: [
      'bundle diff next.ini',
      'bundle diff next.ini --against now.ini',
    ],
    options: [
      ['--against', 'File to compare with instead of the bundle in force'],
    ],
    run: diff,
  },
  {
    usage: 'bundle propose <file>',
    description: 'Puts a bundle up for sign-off.',
    examples: ['bundle propose next.ini'],
    run: propose,
  },
  {
    usage: 'bundle sign-off <version>',
    description:
      'Signs a proposed bundle off with an operator\u2019s private key.',
    examples: ['bundle sign-off 7 --operator keisha --private-key keisha.key'],
    options: [
      ['--operator', 'Name of the operator in the bundle in force'],
      ['--private-key', 'File with the operator\u2019s private key'],
    ],
    run: signOff,
  },
  {
    usage: 'bundle status',
    description:
      'Shows the bundle in force and the ones that wait for sign-offs.',
    examples: ['bundle status --json'],
    run: status,
  },
  {
    usage: 'bundle history',
    description: 'Lists the bundles that came into force, newest first.',
    examples: ['bundle history', 'bundle history --json'],
    run: history,
  },
  {
    usage: 'bundle roll-out',
    description:
      'Shows which version each linked daemon has in force, and how long after this one.',
    examples: ['bundle roll-out'],
    run: rollOut,
  },
];

import {sleep} from '@gentiandoor/kernel';
import type {AdminClient} from '../admin-client.js';
import type {CommandDefinition} from '../command-registry.js';
import {
  adminClient,
  type CommandContext,
  type CommonOptions,
} from '../command-context.js';
import {formatColumns} from '../format-columns.js';

const CLEAR_SCREEN = '\u001b[2J\u001b[H';
const DEFAULT_SECONDS = 1;
const MILLISECONDS_PER_SECOND = 1000;

interface TopOptions extends CommonOptions {
  readonly seconds: number;
  readonly rounds?: number;
}

type MetricValues = Readonly<Record<string, number>>;

async function top(
  context: CommandContext,
  options: TopOptions,
): Promise<void> {
  const client = adminClient(context, options);
  let before = await readMetrics(client);
  const rounds = Number(options.rounds ?? Infinity);
  for (let round = 0; round < rounds; round++) {
    await sleep(
      context.clock,
      Number(options.seconds) * MILLISECONDS_PER_SECOND,
    );
    const after = await readMetrics(client);
    printRates(context, options, before, after);
    before = after;
  }
}

async function readMetrics(client: AdminClient): Promise<MetricValues> {
  return (await client.get('/metrics')) as MetricValues;
}

function printRates(
  context: CommandContext,
  options: TopOptions,
  before: MetricValues,
  after: MetricValues,
): void {
  const rates = ratesOf(before, after, Number(options.seconds));
  if (options.json) {
    context.print(JSON.stringify(rates));
    return;
  }
  if (options.rounds === undefined) context.print(CLEAR_SCREEN);
  const rows = Object.entries(rates).map(([name, rate]) => [
    name,
    rate.toFixed(1),
  ]);
  for (const line of formatColumns(
    ['counter or gauge', 'a second, or now'],
    rows,
  )) {
    context.print(line);
  }
}

const GAUGE_NAME_PATTERN =
  /^(queue_length|in_flight|claims_kept|held_answer_bytes)/;

/** Returns counters as rates per second and gauges as they are; omits zero values. */
function ratesOf(
  before: MetricValues,
  after: MetricValues,
  seconds: number,
): Record<string, number> {
  const entries = Object.entries(after).map(
    ([name, value]): [string, number] =>
      GAUGE_NAME_PATTERN.test(name)
        ? [name, value]
        : [name, (value - (before[name] ?? 0)) / seconds],
  );
  return Object.fromEntries(entries.filter(([, value]) => value !== 0));
}

/** Commands that show metrics live. */
export const topCommands: readonly CommandDefinition[] = [
  {
    usage: 'top',
    description: 'Shows a daemon\u2019s counters as rates, again and again.',
    examples: ['top', 'top --seconds 5', 'top --rounds 1 --json'],
    options: [
      ['--seconds', 'Seconds between two looks', DEFAULT_SECONDS],
      ['--rounds', 'Ends after so many looks'],
    ],
    run: top,
  },
];

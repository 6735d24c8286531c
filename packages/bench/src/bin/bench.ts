#!/usr/bin/env node
import {writeFileSync} from 'node:fs';
import sade from 'sade';
import {toError} from '@gentiandoor/kernel';
import {formatTable} from '../format-table.js';
import type {Scenario, ScenarioResult} from '../scenario.js';
import {ALL_SCENARIOS} from '../scenarios/index.js';

const DEFAULT_SEED = 1;
const EXIT_CHECK_FAILED = 1;
const EXIT_BAD_INPUT = 2;

interface Options {
  readonly scenario?: string;
  readonly list?: boolean;
  readonly seed: number;
  readonly scale: number;
  readonly json?: string;
}

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

async function runScenario(
  scenario: Scenario,
  options: Options,
): Promise<ScenarioResult> {
  print(
    `${scenario.name} (seed ${options.seed}, scale ${options.scale}): ${scenario.description}`,
  );
  const result = await scenario.run({seed: options.seed, scale: options.scale});
  print(formatTable(result.rows));
  for (const check of result.checks) {
    print(
      `${check.passed ? 'held  ' : 'BROKEN'} ${check.name}: ${check.detail}`,
    );
  }
  return result;
}

async function run(options: Options): Promise<number> {
  if (options.list || !options.scenario) {
    for (const {name, description} of ALL_SCENARIOS)
      print(`${name}: ${description}`);
    return 0;
  }
  const names = options.scenario.split(',');
  const unknown = names.find(
    name => !ALL_SCENARIOS.some(item => item.name === name),
  );
  if (unknown !== undefined) {
    process.stderr.write(`bench: no scenario ${unknown}; see --list\n`);
    return EXIT_BAD_INPUT;
  }
  const results: Record<string, ScenarioResult & {readonly seed: number}> = {};
  for (const scenario of ALL_SCENARIOS.filter(item =>
    names.includes(item.name),
  )) {
    const result = await runScenario(scenario, options);
    results[scenario.name] = {seed: options.seed, ...result};
  }
  if (options.json)
    writeFileSync(options.json, JSON.stringify(results, null, 2));
  const broken = Object.values(results).some(result =>
    result.checks.some(check => !check.passed),
  );
  return broken ? EXIT_CHECK_FAILED : 0;
}

sade('bench', true)
  .describe('Runs measured scenarios.')
  .option('--scenario', 'Names of scenarios, comma-separated')
  .option('--list', 'Names all scenarios')
  .option('--seed', 'Seed of the random source', DEFAULT_SEED)
  .option('--scale', 'Multiplies lengths of load', 1)
  .option('--json', 'Writes the result to a file')
  .action((options: Options) => {
    run(options).then(
      code => process.exit(code),
      error => {
        process.stderr.write(`bench: ${toError(error).stack}\n`);
        process.exit(EXIT_CHECK_FAILED);
      },
    );
  })
  .parse(process.argv);

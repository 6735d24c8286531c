#!/usr/bin/env node
import {readFileSync, writeFileSync} from 'node:fs';
import sade from 'sade';
import {toError} from '@gentiandoor/kernel';
import {measureAll, type MeasuredSlope} from '../capacity/all-measurements.js';
import {
  CAPACITY_PAGE,
  capacityParts,
  writeParts,
} from '../capacity/capacity-page.js';

const EXIT_FAILED = 1;

interface Options {
  readonly page: string;
}

function print({measurement, slope}: MeasuredSlope): void {
  const {name, unit, per} = measurement;
  const error = `${(slope.error * 100).toFixed(1)}%`;
  process.stdout.write(
    `${name}: ${slope.intercept.toPrecision(4)} + ${slope.perUnit.toPrecision(4)} ${unit} a ${per}, error ${error}, growth ${slope.exponent.toFixed(2)}\n`,
  );
}

async function run({page}: Options): Promise<void> {
  const pageText = readFileSync(page, 'utf8');
  const processBytes = process.memoryUsage().rss;
  const slopes = await measureAll(print);
  const parts = capacityParts(slopes, processBytes);
  writeFileSync(page, writeParts(pageText, parts));
}

sade('capacity', true)
  .describe('Measures growth with size and writes the tables of the page.')
  .option('--page', 'The page, with markers for the tables', CAPACITY_PAGE)
  .action((options: Options) => {
    run(options).then(
      () => process.exit(0),
      error => {
        process.stderr.write(`capacity: ${toError(error).stack}\n`);
        process.exit(EXIT_FAILED);
      },
    );
  })
  .parse(process.argv);

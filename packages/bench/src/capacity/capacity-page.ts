import {cpus} from 'node:os';
import {
  markdownTable,
  replacePart,
  type ReferencePart,
} from '@gentiandoor/documentation';
import type {MeasuredSlope, MeasuredSlopes} from './all-measurements.js';
import {ENTRY_COUNTS} from './planned-deployment.js';
import {
  claimLines,
  entryFlowLines,
  targetSummaryLines,
} from './entry-daemon-flow.js';
import {entryMemoryLines} from './entry-daemon-memory.js';
import {Estimates, figure, quantity} from './estimates.js';
import {dailyRecords} from './fleet-stream.js';
import {Unit} from './measurement.js';
import {commandLineLines, plannerLines} from './planner-lines.js';
import {changeLines, platformLines, returnLines} from './platform-lines.js';
import {roleTable} from './role-line.js';
import {LINEAR_EXPONENT} from './slope.js';

/** Path, from the repository root, of the page that the tables are written to. */
export const CAPACITY_PAGE = 'docs/CAPACITY.md';

function formatGrowth({exponent, endExponent}: MeasuredSlope['slope']): string {
  const text = `${exponent.toFixed(2)}, at the end ${endExponent.toFixed(2)}`;
  const isWorse = Math.max(exponent, endExponent) > LINEAR_EXPONENT;
  return isWorse ? `${text}: worse than linear` : text;
}

function slopeRow({measurement, points, slope}: MeasuredSlope): string[] {
  const {name, unit, per} = measurement;
  return [
    name,
    points
      .map(({size, value}) => `${figure(size)}: ${quantity(value, unit)}`)
      .join('; '),
    quantity(slope.intercept, unit),
    `${quantity(slope.perUnit, unit)} a ${per}`,
    `${(slope.error * 100).toFixed(1)}%`,
    formatGrowth(slope),
    'npm run capacity',
  ];
}

function slopeTable(slopes: MeasuredSlopes): string {
  return markdownTable(
    ['line', 'measured', 'at 0', 'slope', 'error', 'growth', 'command'],
    [...slopes.values()].map(slopeRow),
  );
}

function runText(processBytes: number): string {
  return [
    `Node.js ${process.version}, one run of one process, ${cpus().length} processors shared with other work.`,
    `Resident size of the process with all packages loaded, before the first measurement: ${quantity(processBytes, Unit.Bytes)}.`,
  ].join('\n');
}

function recordsTable(estimates: Estimates): string {
  const tables = ENTRY_COUNTS.map(({daemons}) =>
    dailyRecords(estimates, daemons),
  );
  return markdownTable(
    [
      'records a day',
      'worked out at the most daemons',
      ...ENTRY_COUNTS.map(({daemons}) => `${figure(daemons)} daemons`),
    ],
    tables[0].map(({what}, index) => [
      what,
      tables[tables.length - 1][index].arithmetic,
      ...tables.map(
        table =>
          `${figure(table[index].records)}, ${quantity(table[index].bytes, Unit.Bytes)}`,
      ),
    ]),
  );
}

function entryCountTable(): string {
  return markdownTable(
    ['entry VMs', 'why'],
    ENTRY_COUNTS.map(({daemons, why}) => [figure(daemons), why]),
  );
}

/** Returns the generated parts of the page, named like their markers. */
export function capacityParts(
  slopes: MeasuredSlopes,
  processBytes: number,
): ReferencePart[] {
  const estimates = new Estimates(slopes);
  const minimumDaemons = ENTRY_COUNTS[0].daemons;
  const maximumDaemons = ENTRY_COUNTS[ENTRY_COUNTS.length - 1].daemons;
  const texts: Record<string, string> = {
    run: runText(processBytes),
    slopes: slopeTable(slopes),
    'entry-vms': entryCountTable(),
    'daily-records': recordsTable(estimates),
    'entry-memory': roleTable(
      entryMemoryLines(estimates, maximumDaemons, processBytes),
    ),
    'entry-memory-fewest': roleTable(
      entryMemoryLines(estimates, minimumDaemons, processBytes).slice(-2),
    ),
    'entry-flow': roleTable([
      ...entryFlowLines(estimates),
      ...targetSummaryLines(estimates),
      ...claimLines(estimates),
    ]),
    planner: roleTable(plannerLines(estimates)),
    changes: roleTable(changeLines(estimates)),
    return: roleTable(returnLines(estimates)),
    platform: roleTable(platformLines(estimates)),
    'command-line': roleTable(commandLineLines(estimates)),
  };
  return Object.entries(texts).map(([name, text]) => ({
    page: 'CAPACITY.md',
    name,
    text,
  }));
}

/** Returns the page text with its generated parts replaced. */
export function writeParts(
  pageText: string,
  parts: readonly ReferencePart[],
): string {
  return parts.reduce(replacePart, pageText);
}

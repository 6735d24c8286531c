import type {ScenarioRow} from './scenario.js';

const SIGNIFICANT_DIGITS = 4;

/** Formats rows as an aligned plain-text table. */
export function formatTable(rows: readonly ScenarioRow[]): string {
  const columns = [...new Set(rows.flatMap(row => Object.keys(row.values)))];
  const lines = [
    ['', ...columns],
    ...rows.map(row => [
      row.label,
      ...columns.map(name => formatCell(row.values[name])),
    ]),
  ];
  const widths = lines[0].map((_, column) =>
    Math.max(...lines.map(line => line[column].length)),
  );
  return lines
    .map(line =>
      line
        .map((text, column) => text.padEnd(widths[column]))
        .join('  ')
        .trimEnd(),
    )
    .join('\n');
}

function formatCell(value: number | undefined): string {
  if (value === undefined) return '-';
  if (Number.isInteger(value)) return String(value);
  return String(Number(value.toPrecision(SIGNIFICANT_DIGITS)));
}

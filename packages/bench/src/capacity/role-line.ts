import {markdownTable} from '@gentiandoor/documentation';

/** Whether a value is within its limit; the values are printed. */
export enum BoundStatus {
  Within = 'within',
  Over = 'OVER',
  NoBound = '',
}

/** A line in the table of a role: a resource that it uses at the planned size. */
export interface RoleLine {
  readonly what: string;
  readonly arithmetic: string;
  readonly result: string;
  readonly boundComparison: string;
  readonly mechanism: string;
}

/** Formats a value as a share or multiple of its limit. */
export function compareWithBound(value: number, bound: number): string {
  const share = `${((value / bound) * 100).toPrecision(3)}% of the bound`;
  const times = `${BoundStatus.Over}, ${(value / bound).toPrecision(3)} times the bound`;
  return value > bound ? times : `${BoundStatus.Within}, ${share}`;
}

/** Formats the lines of a role as a Markdown table. */
export function roleTable(lines: readonly RoleLine[]): string {
  return markdownTable(
    ['line', 'worked out', 'at the size to come', 'bound', 'mechanism'],
    lines.map(line => [
      line.what,
      line.arithmetic,
      line.result,
      line.boundComparison,
      line.mechanism,
    ]),
  );
}

import {markdownTable} from '@gentiandoor/documentation';

/** How a line stands against its bound. */
export enum BoundStatus {
  Within = 'within',
  Over = 'OVER',
  NoBound = '',
}

/** One line of a role: what it takes at the size to come. */
export interface RoleLine {
  readonly what: string;
  readonly arithmetic: string;
  readonly result: string;
  readonly boundComparison: string;
  readonly mechanism: string;
}

/** Says how a value stands against a bound, as a share of it. */
export function compareWithBound(value: number, bound: number): string {
  const share = `${((value / bound) * 100).toPrecision(3)}% of the bound`;
  const times = `${BoundStatus.Over}, ${(value / bound).toPrecision(3)} times the bound`;
  return value > bound ? times : `${BoundStatus.Within}, ${share}`;
}

/** Lines of a role as a table. */
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

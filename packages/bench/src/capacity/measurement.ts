import type {MeasuredLine} from './measured-line.js';
import type {Point} from './slope.js';

/** Units of a measured slope. */
export enum Unit {
  Bytes = 'bytes',
  BytesPerSecond = 'bytes/s',
  Milliseconds = 'ms',
  Microseconds = 'us',
  CoreShare = 'core',
}

/** A quantity whose growth with the size of a deployment is measured. */
export interface Measurement {
  readonly name: MeasuredLine;
  readonly unit: Unit;
  /** The unit that the size counts. */
  readonly per: string;
  readonly sizes: readonly number[];
  /** Returns the value at one size. */
  measure(size: number): number | Promise<number>;
}

/** Repeats of a timed measurement; the minimum is used, since noise only adds time. */
const REPEATS = 5;

/** Returns the milliseconds of the fastest of several runs. */
export function fastest(action: () => void): number {
  let best = Infinity;
  for (let repeat = 0; repeat < REPEATS; repeat++) {
    const from = performance.now();
    action();
    best = Math.min(best, performance.now() - from);
  }
  return best;
}

/** Resolves with the milliseconds of the fastest of several runs of an asynchronous task. */
export async function fastestTask(
  action: () => Promise<unknown>,
): Promise<number> {
  let best = Infinity;
  for (let repeat = 0; repeat < REPEATS; repeat++) {
    const from = performance.now();
    await action();
    best = Math.min(best, performance.now() - from);
  }
  return best;
}

/** Memoizes a measurement by size, so that several lines can use one run. */
export function memoizeBySize<Result>(
  make: (size: number) => Result,
): (size: number) => Result {
  const results = new Map<number, Result>();
  return size => {
    if (!results.has(size)) results.set(size, make(size));
    return results.get(size)!;
  };
}

/** Returns the heap bytes that `make`'s result retains; needs `--expose-gc`. */
export function retainedHeapBytes<Result>(make: () => Result): number {
  collectGarbage();
  const before = process.memoryUsage().heapUsed;
  const result = make();
  collectGarbage();
  const after = process.memoryUsage().heapUsed;
  keepAlive(result);
  return after - before;
}

function collectGarbage(): void {
  if (!global.gc) throw new Error('run node with --expose-gc');
  global.gc();
  global.gc();
}

let last: unknown;

function keepAlive(value: unknown): void {
  last = value;
  void last;
}

/** Measures the value at every size. */
export async function measurePoints(
  measurement: Measurement,
): Promise<Point[]> {
  const points: Point[] = [];
  for (const size of measurement.sizes) {
    points.push({size, value: await measurement.measure(size)});
  }
  return points;
}

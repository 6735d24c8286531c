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

/** Something whose growth with the size of a deployment is measured. */
export interface Measurement {
  readonly name: MeasuredLine;
  readonly unit: Unit;
  /** What the size counts. */
  readonly per: string;
  readonly sizes: readonly number[];
  /** The value at one size. */
  measure(size: number): number | Promise<number>;
}

/** Repeats of a timed measurement; the least is kept, since noise only adds. */
const REPEATS = 5;

/** Milliseconds of the fastest of several runs. */
export function fastest(action: () => void): number {
  let best = Infinity;
  for (let repeat = 0; repeat < REPEATS; repeat++) {
    const from = performance.now();
    action();
    best = Math.min(best, performance.now() - from);
  }
  return best;
}

/** Milliseconds of the fastest of several runs of a task. */
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

/** Keeps what was measured at a size, for several lines from one run. */
export function memoizeBySize<Result>(
  make: (size: number) => Result,
): (size: number) => Result {
  const made = new Map<number, Result>();
  return size => {
    if (!made.has(size)) made.set(size, make(size));
    return made.get(size)!;
  };
}

/** Bytes of heap that `make`'s result holds; needs `--expose-gc`. */
export function retainedHeapBytes<Result>(make: () => Result): number {
  collect();
  const before = process.memoryUsage().heapUsed;
  const held = make();
  collect();
  const after = process.memoryUsage().heapUsed;
  keepAlive(held);
  return after - before;
}

function collect(): void {
  if (!global.gc) throw new Error('run node with --expose-gc');
  global.gc();
  global.gc();
}

let last: unknown;

function keepAlive(value: unknown): void {
  last = value;
  void last;
}

/** Measures every size. */
export async function measurePoints(
  measurement: Measurement,
): Promise<Point[]> {
  const points: Point[] = [];
  for (const size of measurement.sizes) {
    points.push({size, value: await measurement.measure(size)});
  }
  return points;
}

/** Work in millicore-milliseconds by the size of its jobs; index `n` holds sizes up to `2 ** n`. */
export type SizeHistogram = readonly number[];

/** Number of classes: the largest size, `2 ** 39`, is 150 hours of one core. */
export const SIZE_CLASSES = 40;

/** Returns the class of a job that needs this many millicore-milliseconds. */
export function sizeClassOf(millicoreMilliseconds: number): number {
  if (!(millicoreMilliseconds > 1)) return 0;
  const exponent = Math.ceil(Math.log2(millicoreMilliseconds));
  return Math.min(SIZE_CLASSES - 1, exponent);
}

/** Returns a histogram without work. */
export function emptyHistogram(): number[] {
  return new Array<number>(SIZE_CLASSES).fill(0);
}

/** Returns the work of jobs up to a class, itself included. */
export function workUpTo(histogram: SizeHistogram, sizeClass: number): number {
  let work = 0;
  for (let index = 0; index <= sizeClass; index++)
    work += histogram[index] ?? 0;
  return work;
}

const MAXIMUM_POLLS = 400;
const POLL_INTERVAL_MILLISECONDS = 50;

/**
 * Polls until the result is as expected, since daemons run in real time here. Returns the
 * last result.
 */
export async function eventually<Result>(
  poll: () => Promise<Result>,
  isExpected: (result: Result) => boolean,
): Promise<Result> {
  for (let round = 0; ; round++) {
    const result = await poll();
    if (isExpected(result) || round === MAXIMUM_POLLS) return result;
    await new Promise(resolve => {
      setTimeout(resolve, POLL_INTERVAL_MILLISECONDS);
    });
  }
}

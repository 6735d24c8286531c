import type {RequestListener} from 'node:http';
import type {OperatorView} from '@gentiandoor/coordinator';
import type {DrainState} from '@gentiandoor/kernel';

/** Reads of the store come every half second; after three that failed another daemon serves better. */
const STORE_AGE_MILLISECONDS = 2_000;

/** Answers the balancer: ready while this daemon has a configuration, reaches the store and is not stopping. */
export function readinessListener(
  operators: OperatorView,
  drainState: DrainState,
): RequestListener {
  return (request, response) => {
    const ready =
      operators.configuration !== undefined &&
      operators.follower.ageMilliseconds < STORE_AGE_MILLISECONDS &&
      !drainState.isDraining;
    request.resume();
    response.writeHead(ready ? 200 : 503).end();
  };
}

import {removeAt, updateAt} from './array-updates.js';

/** The state with one coordinator changed. */
export function updateCoordinator<
  State extends {readonly coordinators: readonly object[]},
>(
  state: State,
  of: number,
  change: (
    coordinator: State['coordinators'][number],
  ) => State['coordinators'][number],
): State {
  return {...state, coordinators: updateAt(state.coordinators, of, change)};
}

/** The state with one worker changed. */
export function updateWorker<
  State extends {readonly workers: readonly object[]},
>(
  state: State,
  of: number,
  change: (worker: State['workers'][number]) => State['workers'][number],
): State {
  return {...state, workers: updateAt(state.workers, of, change)};
}

/** The state without one of the orders under way. */
export function withoutOrder<
  State extends {readonly orders: readonly unknown[]},
>(state: State, of: number): State {
  return {...state, orders: removeAt(state.orders, of)};
}

/** A coordinator that has seen a later term. */
export function markFenced<Coordinator extends {readonly fenced: boolean}>(
  coordinator: Coordinator,
): Coordinator {
  return {...coordinator, fenced: true};
}

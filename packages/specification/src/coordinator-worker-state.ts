import {removeAt, updateAt} from './array-updates.js';

/** Returns the state with one coordinator changed. */
export function updateCoordinator<
  State extends {readonly coordinators: readonly object[]},
>(
  state: State,
  coordinatorIndex: number,
  change: (
    coordinator: State['coordinators'][number],
  ) => State['coordinators'][number],
): State {
  return {
    ...state,
    coordinators: updateAt(state.coordinators, coordinatorIndex, change),
  };
}

/** Returns the state with one worker changed. */
export function updateWorker<
  State extends {readonly workers: readonly object[]},
>(
  state: State,
  workerIndex: number,
  change: (worker: State['workers'][number]) => State['workers'][number],
): State {
  return {...state, workers: updateAt(state.workers, workerIndex, change)};
}

/** Returns the state without one of the orders in flight. */
export function withoutOrder<
  State extends {readonly orders: readonly unknown[]},
>(state: State, orderIndex: number): State {
  return {...state, orders: removeAt(state.orders, orderIndex)};
}

/** Marks a coordinator as fenced, because it has seen a later term. */
export function markFenced<Coordinator extends {readonly fenced: boolean}>(
  coordinator: Coordinator,
): Coordinator {
  return {...coordinator, fenced: true};
}

import {
  fromTransition,
  type EventObject,
  type TransitionSnapshot,
} from 'xstate';
import {getAdjacencyMap} from 'xstate/graph';
import type {Invariant, Specification} from './specification.js';

/** Steps that one exploration may take; the library throws above it, so a result is always whole. */
const MAXIMUM_EXPLORATION_STEPS = 2_000_000;

/** A shortest way into a state that breaks an invariant. */
export interface Violation {
  readonly invariant: string;
  readonly guarantee: string;
  readonly trace: readonly string[];
}

/** What an exploration found. */
export interface Exploration {
  readonly specification: string;
  readonly states: number;
  readonly transitions: number;
  /** One for each broken invariant. */
  readonly violations: readonly Violation[];
}

/** The library's map of states, as far as it is used here. */
type AdjacencyMap<State, Event> = Readonly<
  Record<
    string,
    {
      readonly state: TransitionSnapshot<State>;
      readonly transitions: Readonly<
        Record<
          string,
          {readonly event: Event; readonly state: TransitionSnapshot<State>}
        >
      >;
    }
  >
>;

interface GraphEdge<Event> {
  readonly event: Event;
  readonly target: string;
}

interface GraphNode<State, Event> {
  readonly state: State;
  readonly edges: ReadonlyArray<GraphEdge<Event>>;
}

/**
 * Visits every reachable state and holds the invariants against each; with `until`, the
 * name of an invariant, no further than the first state that breaks it.
 */
export function explore<State extends object, Event extends EventObject>(
  specification: Specification<State, Event>,
  until?: string,
): Exploration {
  const nodes = buildStateGraph(specification, until);
  let transitions = 0;
  for (const node of nodes.values()) transitions += node.edges.length;
  return {
    specification: specification.name,
    states: nodes.size,
    transitions,
    violations: findViolations(specification, nodes),
  };
}

function buildStateGraph<State extends object, Event extends EventObject>(
  specification: Specification<State, Event>,
  until: string | undefined,
): Map<string, GraphNode<State, Event>> {
  const last = specification.invariants.find(({name}) => name === until);
  let isBroken = false;
  const eventsOf = (state: State) => {
    isBroken ||= last !== undefined && !last.holds(state);
    return isBroken ? [] : specification.enabledEvents(state);
  };
  const logic = fromTransition(
    (context: State, event: Event) => specification.step(context, event),
    specification.initialState,
  );
  const map = getAdjacencyMap(logic, {
    events: snapshot => eventsOf(snapshot.context),
    serializeState: snapshot => JSON.stringify(snapshot.context),
    serializeEvent: event => JSON.stringify(event),
    limit: MAXIMUM_EXPLORATION_STEPS,
  }) as object as AdjacencyMap<State, Event>;
  const nodes = new Map<string, GraphNode<State, Event>>();
  for (const [key, {state, transitions}] of Object.entries(map)) {
    const edges = Object.values(transitions).map(({event, state: next}) => ({
      event,
      target: JSON.stringify(next.context),
    }));
    nodes.set(key, {state: state.context, edges});
  }
  return nodes;
}

function findViolations<State extends object, Event extends EventObject>(
  specification: Specification<State, Event>,
  nodes: ReadonlyMap<string, GraphNode<State, Event>>,
): Violation[] {
  const open = new Set<Invariant<State>>(specification.invariants);
  const violations: Violation[] = [];
  const start = JSON.stringify(specification.initialState);
  const arrivals = new Map<string, {from: string; event: Event} | undefined>([
    [start, undefined],
  ]);
  const traceTo = (key: string) => {
    const trace: string[] = [];
    for (let at = arrivals.get(key); at; at = arrivals.get(at.from))
      trace.unshift(specification.describe(at.event));
    return trace;
  };
  // A map is walked in order of insertion, so this is breadth first: the first trace is a shortest.
  for (const key of arrivals.keys()) {
    const node = nodes.get(key)!;
    for (const invariant of open) {
      if (invariant.holds(node.state)) continue;
      open.delete(invariant);
      const {name, guarantee: promise} = invariant;
      violations.push({
        invariant: name,
        guarantee: promise,
        trace: traceTo(key),
      });
    }
    for (const {event, target} of node.edges) {
      if (!arrivals.has(target)) arrivals.set(target, {from: key, event});
    }
  }
  return violations;
}

import {
  fromTransition,
  type EventObject,
  type TransitionSnapshot,
} from 'xstate';
import {getAdjacencyMap} from 'xstate/graph';
import type {Invariant, Specification} from './specification.js';

/**
 * Maximum number of steps of one exploration. The library throws above it, so a result is
 * always complete.
 */
const MAXIMUM_EXPLORATION_STEPS = 2_000_000;

/** A shortest trace to a state that breaks an invariant. */
export interface Violation {
  readonly invariant: string;
  readonly guarantee: string;
  readonly trace: readonly string[];
}

/** The result of an exploration. */
export interface Exploration {
  readonly specification: string;
  readonly states: number;
  readonly transitions: number;
  /** One violation for each broken invariant. */
  readonly violations: readonly Violation[];
}

/** The part of the library's adjacency map that is used here. */
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
 * Visits every reachable state and checks the invariants in each. With `until`, the name of
 * an invariant, the exploration ends at the first state that breaks it.
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
  const stopInvariant = specification.invariants.find(
    ({name}) => name === until,
  );
  let isBroken = false;
  const eventsOf = (state: State) => {
    isBroken ||= stopInvariant !== undefined && !stopInvariant.holds(state);
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
  const unbroken = new Set<Invariant<State>>(specification.invariants);
  const violations: Violation[] = [];
  const initialKey = JSON.stringify(specification.initialState);
  const predecessors = new Map<
    string,
    {from: string; event: Event} | undefined
  >([[initialKey, undefined]]);
  const traceTo = (key: string) => {
    const trace: string[] = [];
    for (
      let predecessor = predecessors.get(key);
      predecessor;
      predecessor = predecessors.get(predecessor.from)
    )
      trace.unshift(specification.describe(predecessor.event));
    return trace;
  };
  // A map iterates in insertion order, so this is a breadth-first search and the first trace
  // found is a shortest one.
  for (const key of predecessors.keys()) {
    const node = nodes.get(key)!;
    for (const invariant of unbroken) {
      if (invariant.holds(node.state)) continue;
      unbroken.delete(invariant);
      const {name, guarantee} = invariant;
      violations.push({
        invariant: name,
        guarantee,
        trace: traceTo(key),
      });
    }
    for (const {event, target} of node.edges) {
      if (!predecessors.has(target))
        predecessors.set(target, {from: key, event});
    }
  }
  return violations;
}

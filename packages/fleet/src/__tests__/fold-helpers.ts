import {
  RecordKind,
  VmCondition,
  capacityIndexOf,
  largestFailureDomainLoss,
  type FleetRecord,
  type FleetState,
  type FoldOutcome,
} from '@gentiandoor/shared-state';
import {
  exampleState,
  foldRecord,
  type ExampleDeployment,
} from '@gentiandoor/stand-ins';

type DraftOf<Entry extends FleetRecord> = Entry extends FleetRecord
  ? Omit<Entry, 'id' | 'writer'>
  : never;

/** A record without id and writer. */
export type Draft = DraftOf<FleetRecord>;

/** The planner in tests that need only one. */
export const PLANNER = 'incarnation-1';

/** A fleet state with helpers that fold records into it. */
export class FoldedFleet {
  readonly state: FleetState;
  private written = 0;

  constructor(from: ExampleDeployment | FleetState) {
    this.state = 'nextOffset' in from ? from : exampleState(from);
  }

  /**
   * Returns a second daemon that continues from another copy of the state, with the same record
   * ids.
   */
  continuedFrom(state: FleetState): FoldedFleet {
    const other = new FoldedFleet(state);
    other.written = this.written;
    return other;
  }

  /** Folds a record of the named writer. */
  write(writer: string, draft: Draft): FoldOutcome {
    const id = `${writer}-${this.written++}`;
    return foldRecord(this.state, {...draft, id, writer} as FleetRecord);
  }

  /** Gives the term to an incarnation; returns the outcome of the fold. */
  takeTerm(holder: string, expectedTerm: number): FoldOutcome {
    return this.write(holder, {
      kind: RecordKind.PlannerTaken,
      expectedTerm,
      holder,
    });
  }

  /** Reports the condition of one VM in a term. */
  report(term: number, vm: string, condition: VmCondition): FoldOutcome {
    const reports = [{vm, condition}];
    return this.write(PLANNER, {kind: RecordKind.VmReported, term, reports});
  }

  /** Acknowledges the work on a VM for every daemon of the example. */
  acknowledgeAll(vm: string): void {
    const startedAt = this.state.work.get(vm)?.startedAt ?? -1;
    for (const incarnation of this.state.members.keys()) {
      this.write(incarnation, {
        kind: RecordKind.DrainAcknowledged,
        incarnation,
        acknowledgements: [{vm, startedAt}],
      });
    }
  }
}

/** Counts the VMs available in a pool without the index. */
export function countAvailable(state: FleetState, pool: string): number {
  let count = 0;
  for (const vm of state.vms.values()) {
    if (vm.pool !== pool || state.conditions.has(vm.id)) continue;
    if (vm.drainReason === undefined) count++;
  }
  return count;
}

/**
 * Returns how many VMs each service has above its need after the named failure; negative if
 * exposed.
 */
export function budgetMargins(state: FleetState): Map<string, number> {
  const index = capacityIndexOf(state);
  const services = Object.entries(state.inForce?.bundle.services ?? {});
  return new Map(
    services.map(([name, {pool, budget}]) => {
      const counts = index.pool(pool);
      const remaining =
        counts.available - largestFailureDomainLoss(counts, budget.survive);
      return [name, remaining - budget.availableVms];
    }),
  );
}

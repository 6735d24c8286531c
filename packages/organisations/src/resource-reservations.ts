import type {Resources} from './organisation.js';

interface Entry {
  readonly organisation: string;
  readonly amount: Resources;
}

const NO_RESOURCES: Resources = {
  processorMillicores: 0,
  memoryMegabytes: 0,
  accelerators: 0,
};

/**
 * Tracks the resources that each organisation's runs may be using, over all workers.
 * A run counts from before its order is sent until it is known to have ended. An order
 * that is answered late or never, a run on an unresponsive worker and a run ordered by
 * an earlier coordinator may all be alive; without counting them, the runs started in
 * their place would take the organisation over its limit.
 */
export class ResourceReservations {
  private readonly entries = new Map<string, Entry>();
  private readonly sums = new Map<string, Resources>();

  /** Reserves resources for a run; `runName` is unique among all runs. */
  reserve(runName: string, organisation: string, amount: Resources): void {
    if (this.entries.has(runName)) return;
    this.entries.set(runName, {organisation, amount});
    this.sums.set(
      organisation,
      sumResources([this.usedBy(organisation), amount]),
    );
  }

  /**
   * Releases the resources of a run that has ended; returns its organisation, or
   * undefined if the run was not counted.
   */
  release(runName: string): string | undefined {
    const entry = this.entries.get(runName);
    if (!entry) return undefined;
    this.entries.delete(runName);
    const {organisation, amount} = entry;
    const remaining = difference(this.usedBy(organisation), amount);
    if (isZero(remaining)) this.sums.delete(organisation);
    else this.sums.set(organisation, remaining);
    return organisation;
  }

  /** Returns the organisations whose runs are counted. */
  organisations(): Iterable<string> {
    return this.sums.keys();
  }

  /** Returns the resources reserved by an organisation. */
  usedBy(organisation: string): Resources {
    return this.sums.get(organisation) ?? NO_RESOURCES;
  }

  /** Whether tasks with these amounts may all start now. */
  canReserve(
    organisation: string,
    limit: Resources,
    amounts: readonly Resources[],
  ): boolean {
    const used = this.usedBy(organisation);
    const isAlone = amounts.length === 1 && isZero(used);
    // A limit below the size of one task must not block accepted work forever.
    return isAlone || isWithin(sumResources([used, ...amounts]), limit);
  }

  /**
   * Whether the resources reserved by an organisation are within a limit; those of a
   * single run always are.
   */
  isWithinLimit(
    organisation: string,
    limit: Resources,
    last: Resources,
  ): boolean {
    const used = this.usedBy(organisation);
    return isWithin(used, limit) || isZero(difference(used, last));
  }
}

/** Whether an amount is within a limit, where 0 means no limit. */
export function isWithin(amount: Resources, limit: Resources): boolean {
  return (
    isValueWithin(amount.processorMillicores, limit.processorMillicores) &&
    isValueWithin(amount.memoryMegabytes, limit.memoryMegabytes) &&
    isValueWithin(amount.accelerators, limit.accelerators)
  );
}

/** Returns the sum of resource amounts. */
export function sumResources(amounts: readonly Resources[]): Resources {
  return amounts.reduce(
    (total, one) => ({
      processorMillicores: total.processorMillicores + one.processorMillicores,
      memoryMegabytes: total.memoryMegabytes + one.memoryMegabytes,
      accelerators: total.accelerators + one.accelerators,
    }),
    NO_RESOURCES,
  );
}

function difference(from: Resources, amount: Resources): Resources {
  return {
    processorMillicores: from.processorMillicores - amount.processorMillicores,
    memoryMegabytes: from.memoryMegabytes - amount.memoryMegabytes,
    accelerators: from.accelerators - amount.accelerators,
  };
}

function isValueWithin(value: number, limit: number): boolean {
  return limit === 0 || value <= limit;
}

function isZero(amount: Resources): boolean {
  return (
    amount.processorMillicores <= 0 &&
    amount.memoryMegabytes <= 0 &&
    amount.accelerators <= 0
  );
}

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
 * What each organisation may have running, over all workers.
 * A run counts from before its order is sent until it is known to be over: an order that is answered late
 * or never, a run on a silent worker, and one that an earlier coordinator ordered may all be alive, and an
 * organisation would be brought over its limit by what is started in their place.
 */
export class ResourceReservations {
  private readonly entries = new Map<string, Entry>();
  private readonly sums = new Map<string, Resources>();

  /** Counts a run; `runName` is its own among all runs. */
  reserve(runName: string, organisation: string, amount: Resources): void {
    if (this.entries.has(runName)) return;
    this.entries.set(runName, {organisation, amount});
    this.sums.set(
      organisation,
      sumResources([this.usedBy(organisation), amount]),
    );
  }

  /** The run is over; returns its organisation, undefined where it was not counted. */
  release(runName: string): string | undefined {
    const entry = this.entries.get(runName);
    if (!entry) return undefined;
    this.entries.delete(runName);
    const {organisation, amount} = entry;
    const left = difference(this.usedBy(organisation), amount);
    if (isNothing(left)) this.sums.delete(organisation);
    else this.sums.set(organisation, left);
    return organisation;
  }

  /** Organisations of which runs are counted. */
  organisations(): Iterable<string> {
    return this.sums.keys();
  }

  usedBy(organisation: string): Resources {
    return this.sums.get(organisation) ?? NO_RESOURCES;
  }

  /** Whether tasks of these amounts may all start now. */
  canReserve(
    organisation: string,
    limit: Resources,
    amounts: readonly Resources[],
  ): boolean {
    const used = this.usedBy(organisation);
    const isAlone = amounts.length === 1 && isNothing(used);
    // A limit below the size of one task must not hold up for good what was taken in.
    return isAlone || isWithin(sumResources([used, ...amounts]), limit);
  }

  /** Whether what is counted for an organisation is within a limit, that of a single run at least. */
  isWithinLimit(
    organisation: string,
    limit: Resources,
    last: Resources,
  ): boolean {
    const used = this.usedBy(organisation);
    return isWithin(used, limit) || isNothing(difference(used, last));
  }
}

/** Whether an amount is within a limit; a limit of 0 is none. */
export function isWithin(amount: Resources, limit: Resources): boolean {
  return (
    isUnder(amount.processorMillicores, limit.processorMillicores) &&
    isUnder(amount.memoryMegabytes, limit.memoryMegabytes) &&
    isUnder(amount.accelerators, limit.accelerators)
  );
}

/** Sum of amounts of room. */
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

function isUnder(value: number, limit: number): boolean {
  return limit === 0 || value <= limit;
}

function isNothing(amount: Resources): boolean {
  return (
    amount.processorMillicores <= 0 &&
    amount.memoryMegabytes <= 0 &&
    amount.accelerators <= 0
  );
}

import {
  WaveVmStep,
  capacityIndexOf,
  type FleetState,
  type Wave,
} from '@gentiandoor/shared-state';

/** VMs of one data centre that a wave covers, rack by rack. */
export interface DataCentreVms {
  readonly dataCentre: string;
  readonly vms: readonly string[];
}

/**
 * Orders a wave's VMs by data centre and rack; cached per wave, since a wave's VMs never increase.
 */
export class WaveOrder {
  private readonly orders = new Map<string, DataCentreVms[]>();

  vmsByDataCentre(state: FleetState, wave: Wave): readonly DataCentreVms[] {
    const key = `${wave.id}@${wave.startedAt}`;
    const cached = this.orders.get(key);
    if (cached) return cached;
    const order = orderVms(state, wave);
    this.orders.set(key, order);
    return order;
  }

  /** Discards the orders of waves that have ended. */
  retain(waves: readonly Wave[]): void {
    const keys = new Set(waves.map(wave => `${wave.id}@${wave.startedAt}`));
    for (const key of this.orders.keys()) {
      if (!keys.has(key)) this.orders.delete(key);
    }
  }
}

function orderVms(state: FleetState, wave: Wave): DataCentreVms[] {
  const vms = [...state.waveVms]
    .filter(([, entry]) => entry.wave === wave.id)
    .filter(([, entry]) => entry.step === WaveVmStep.Remaining)
    .map(([vm]) => vm);
  return orderByDomain(state, vms);
}

/** Returns VMs ordered by data centre, rack and name. */
export function orderByDomain(
  state: FleetState,
  ids: readonly string[],
): DataCentreVms[] {
  const index = capacityIndexOf(state);
  const vmsByDataCentre = new Map<string, string[]>();
  const vms = ids
    .map(vm => ({vm, location: index.locationOf(vm)}))
    .sort(
      (left, right) =>
        compare(left.location.dataCentre, right.location.dataCentre) ||
        compare(left.location.rack, right.location.rack) ||
        compare(left.vm, right.vm),
    );
  for (const {vm, location} of vms) {
    const list = vmsByDataCentre.get(location.dataCentre) ?? [];
    list.push(vm);
    vmsByDataCentre.set(location.dataCentre, list);
  }
  return [...vmsByDataCentre].map(([dataCentre, list]) => ({
    dataCentre,
    vms: list,
  }));
}

function compare(left: string, right: string): number {
  if (left === right) return 0;
  return left < right ? -1 : 1;
}

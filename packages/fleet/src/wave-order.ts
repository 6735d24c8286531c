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

/** Orders a wave's VMs by data centre and rack; kept per wave, since a wave's VMs never grow. */
export class WaveOrder {
  private readonly orders = new Map<string, DataCentreVms[]>();

  vmsByDataCentre(state: FleetState, wave: Wave): readonly DataCentreVms[] {
    const key = `${wave.id}@${wave.startedAt}`;
    const known = this.orders.get(key);
    if (known) return known;
    const order = orderVms(state, wave);
    this.orders.set(key, order);
    return order;
  }

  /** Forgets waves that have ended. */
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

/** VMs by data centre, rack and name. */
export function orderByDomain(
  state: FleetState,
  ids: readonly string[],
): DataCentreVms[] {
  const index = capacityIndexOf(state);
  const stretches = new Map<string, string[]>();
  const vms = ids
    .map(vm => ({vm, place: index.locationOf(vm)}))
    .sort(
      (left, right) =>
        compare(left.place.dataCentre, right.place.dataCentre) ||
        compare(left.place.rack, right.place.rack) ||
        compare(left.vm, right.vm),
    );
  for (const {vm, place} of vms) {
    const list = stretches.get(place.dataCentre) ?? [];
    list.push(vm);
    stretches.set(place.dataCentre, list);
  }
  return [...stretches].map(([dataCentre, list]) => ({
    dataCentre,
    vms: list,
  }));
}

function compare(left: string, right: string): number {
  if (left === right) return 0;
  return left < right ? -1 : 1;
}

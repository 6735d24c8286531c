import {measureRouter} from '../scenarios/decisions-cost.js';
import {MeasuredLine} from './measured-line.js';
import {Unit, memoizeBySize, type Measurement} from './measurement.js';

const POOLS = [15, 60, 120, 239];
const VMS_OF_A_POOL = 130;
const BYTES_IN_MEGABYTE = 2 ** 20;
const PER_POOL = `pool of ${VMS_OF_A_POOL} VMs`;

const routerAt = memoizeBySize(
  async (pools: number) =>
    (await measureRouter({pools, vms: pools * VMS_OF_A_POOL})).values,
);

/** Measurements of the router of a daemon that uses every pool. */
export const ROUTER_MEASUREMENTS: readonly Measurement[] = [
  {
    name: MeasuredLine.RouterMemory,
    unit: Unit.Bytes,
    per: PER_POOL,
    sizes: POOLS,
    measure: async pools =>
      (await routerAt(pools)).router_megabytes * BYTES_IN_MEGABYTE,
  },
  {
    name: MeasuredLine.RouterChange,
    unit: Unit.Milliseconds,
    per: PER_POOL,
    sizes: POOLS,
    measure: async pools => (await routerAt(pools)).change_cpu_ms,
  },
  {
    name: MeasuredLine.RouterRequest,
    unit: Unit.Microseconds,
    per: PER_POOL,
    sizes: POOLS,
    measure: async pools => (await routerAt(pools)).acquire_us,
  },
];

import {decodeSnapshot, encodeSnapshot} from '@gentiandoor/shared-state';
import {MeasuredLine} from './measured-line.js';
import {
  Unit,
  fastestTask,
  memoizeBySize,
  type Measurement,
} from './measurement.js';
import {PER_VM, VM_SIZES, stateWithVms} from './state-measurements.js';

function rest(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}

const snapshotOf = memoizeBySize(async (vms: number) => {
  const state = stateWithVms(vms);
  const bytes = await encodeSnapshot(state, rest);
  const written = await fastestTask(() => encodeSnapshot(state, rest));
  const recovered = await fastestTask(() =>
    decodeSnapshot(bytes, state.trustedOperators, rest),
  );
  return {bytes: bytes.length, written, recovered};
});

/** Measurements of writing a snapshot and of reading one when a daemon starts. */
export const SNAPSHOT_MEASUREMENTS: readonly Measurement[] = [
  {
    name: MeasuredLine.SnapshotBytes,
    unit: Unit.Bytes,
    per: PER_VM,
    sizes: VM_SIZES,
    measure: async vms => (await snapshotOf(vms)).bytes,
  },
  {
    name: MeasuredLine.SnapshotWritten,
    unit: Unit.Milliseconds,
    per: PER_VM,
    sizes: VM_SIZES,
    measure: async vms => (await snapshotOf(vms)).written,
  },
  {
    name: MeasuredLine.SnapshotRecovered,
    unit: Unit.Milliseconds,
    per: PER_VM,
    sizes: VM_SIZES,
    measure: async vms => (await snapshotOf(vms)).recovered,
  },
];

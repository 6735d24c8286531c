import {
  ListedState,
  RecordKind,
  applyPayload,
  sha256Hex,
  emptyFleetState,
  encodeRecord,
  generateOperatorKeys,
  parseBundle,
  signBundle,
  type FleetState,
  type ListedVm,
} from '@gentiandoor/shared-state';
import {MeasuredLine} from './measured-line.js';
import {
  Unit,
  fastest,
  retainedHeapBytes,
  type Measurement,
} from './measurement.js';
import {proportionalSize, syntheticBundle} from './synthetic-bundle.js';

/** Numbers of VMs at which measurements run. */
export const VM_SIZES = [1000, 4000, 16_000, 31_000];
const RECORDS = 1000;
/** The unit that these sizes count. */
export const PER_VM = 'VM';
const keys = generateOperatorKeys();

/** Returns a state with a bundle of `vms` VMs in force. */
export function stateWithVms(vms: number): FleetState {
  const text = syntheticBundle(proportionalSize(vms), keys.publicKey);
  const digest = sha256Hex(text);
  const state = emptyFleetState({kerry: keys.publicKey});
  const writer = 'capacity';
  const proposed = encodeRecord({
    kind: RecordKind.BundleProposed,
    id: 'p',
    writer,
    text,
  });
  const signed = encodeRecord({
    kind: RecordKind.BundleSigned,
    id: 's',
    writer,
    version: 1,
    digest,
    operator: 'kerry',
    signature: signBundle(keys.privateKey, 1, digest),
  });
  for (const payload of [proposed, signed]) {
    const {rejection} = applyPayload(state, payload);
    if (rejection) throw new Error(`${rejection.reason}: ${rejection.detail}`);
  }
  return state;
}

function drainMicroseconds(vms: number): number {
  const state = stateWithVms(vms);
  const [vm] = state.vms.keys();
  let round = 0;
  const milliseconds = fastest(() => {
    round++;
    for (let index = 0; index < RECORDS; index++) {
      const head = {id: `${round}-${index}`, writer: 'capacity', vm};
      const record =
        index % 2 === 0
          ? ({...head, kind: RecordKind.DrainStarted, reason: 'x'} as const)
          : ({...head, kind: RecordKind.DrainEnded} as const);
      applyPayload(state, encodeRecord(record));
    }
  });
  return (milliseconds * 1000) / RECORDS;
}

function listBody(vms: number): string {
  const listed = Array.from({length: vms}, (_, index) => ({
    id: `r${Math.floor(index / 16)}-${index % 16}`,
    address: `10.${(index >> 16) & 255}.${(index >> 8) & 255}.${index & 255}:8080`,
    dataCentre: `dc-${index % 12}`,
    rack: `r${Math.floor(index / 16)}`,
    state: ListedState.Live,
  }));
  return JSON.stringify({vms: listed});
}

function listFrom(body: string): ReadonlyMap<string, ListedVm> {
  const {vms} = JSON.parse(body) as {readonly vms: readonly ListedVm[]};
  return new Map(vms.map(vm => [vm.id, vm]));
}

/** Measurements of what every daemon holds in memory and reads. */
export const STATE_MEASUREMENTS: readonly Measurement[] = [
  {
    name: MeasuredLine.StateMemory,
    unit: Unit.Bytes,
    per: PER_VM,
    sizes: VM_SIZES,
    measure: vms => retainedHeapBytes(() => stateWithVms(vms)),
  },
  {
    name: MeasuredLine.BundleText,
    unit: Unit.Bytes,
    per: PER_VM,
    sizes: VM_SIZES,
    measure: vms =>
      syntheticBundle(proportionalSize(vms), keys.publicKey).length,
  },
  {
    name: MeasuredLine.BundleParsed,
    unit: Unit.Milliseconds,
    per: PER_VM,
    sizes: VM_SIZES,
    measure: vms => {
      const text = syntheticBundle(proportionalSize(vms), keys.publicKey);
      return fastest(() => parseBundle(text));
    },
  },
  {
    name: MeasuredLine.RecordFolded,
    unit: Unit.Microseconds,
    per: PER_VM,
    sizes: VM_SIZES,
    measure: drainMicroseconds,
  },
  {
    name: MeasuredLine.ListAnswer,
    unit: Unit.Bytes,
    per: PER_VM,
    sizes: VM_SIZES,
    measure: vms => listBody(vms).length,
  },
  {
    name: MeasuredLine.ListParsed,
    unit: Unit.Milliseconds,
    per: PER_VM,
    sizes: VM_SIZES,
    measure: vms => {
      const body = listBody(vms);
      return fastest(() => JSON.parse(body));
    },
  },
  {
    name: MeasuredLine.ListMemory,
    unit: Unit.Bytes,
    per: PER_VM,
    sizes: VM_SIZES,
    measure: vms => {
      const body = listBody(vms);
      return retainedHeapBytes(() => listFrom(body));
    },
  },
];

/** Returns the private key of the operator whose sign-off these states require. */
export function operatorKey(): typeof keys.privateKey {
  return keys.privateKey;
}

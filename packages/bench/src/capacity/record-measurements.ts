import {randomUUID} from 'node:crypto';
import {
  MaintenanceOutcome,
  RecordKind,
  VmAction,
  VmCondition,
  applyPayload,
  sha256Hex,
  encodeRecord,
  makeDelta,
  signBundle,
  type FleetRecord,
  type FleetState,
} from '@gentiandoor/shared-state';
import {MeasuredLine} from './measured-line.js';
import {Unit, memoizeBySize, type Measurement} from './measurement.js';
import {
  PER_VM,
  VM_SIZES,
  operatorKey,
  stateWithVms,
} from './state-measurements.js';

const REPORTS = [1, 10, 100, 1000];
const CHANGES = 10;

function recordHead() {
  return {id: randomUUID(), writer: randomUUID(), term: 12};
}

function reportBytes(reports: number): number {
  return encodeRecord({
    ...recordHead(),
    kind: RecordKind.VmReported,
    reports: Array.from({length: reports}, (_, index) => ({
      vm: `r${1000 + index}-12`,
      condition: VmCondition.Down,
    })),
  }).length;
}

/** Returns the four records of one VM's maintenance. */
function maintenanceRecords(index: number): FleetRecord[] {
  const vm = `r${1000 + index}-12`;
  const work = {vm, startedAt: 1_000_000 + index};
  return [
    {
      ...recordHead(),
      kind: RecordKind.MaintenanceStarted,
      vm,
      wave: 'wave-2026-12',
      reason: 'kernel update',
    },
    {
      ...recordHead(),
      ...work,
      kind: RecordKind.MaintenanceAsked,
      attempt: 1,
      action: VmAction.Reboot,
    },
    {...recordHead(), ...work, kind: RecordKind.MaintenanceReturned},
    {
      ...recordHead(),
      ...work,
      kind: RecordKind.MaintenanceEnded,
      outcome: MaintenanceOutcome.Done,
      at: 1_800_000_000_000,
    },
  ];
}

function maintenanceBytes(vms: number): number {
  let bytes = 0;
  for (let index = 0; index < vms; index++)
    for (const record of maintenanceRecords(index))
      bytes += encodeRecord(record).length;
  return bytes;
}

/** Returns the payloads that change one quota of the bundle in force. */
function changePayloads(state: FleetState, slots: number): Uint8Array[] {
  const {parsed, text, digest, bundle} = state.inForce!;
  const {version} = bundle;
  const changed = text
    .replace(`version = ${version}\n`, `version = ${version + 1}\n`)
    .replace(`base = ${version - 1}\n`, `base = ${version}\n`)
    .replace(/slots = \d+\n/, `slots = ${slots}\n`);
  const changedDigest = sha256Hex(changed);
  return [
    encodeRecord({
      kind: RecordKind.BundleChanged,
      id: randomUUID(),
      writer: 'moana',
      baseDigest: digest,
      digest: changedDigest,
      steps: makeDelta(parsed.sections, changed),
    }),
    encodeRecord({
      kind: RecordKind.BundleSigned,
      id: randomUUID(),
      writer: 'kerry',
      version: version + 1,
      digest: changedDigest,
      operator: 'kerry',
      signature: signBundle(operatorKey(), version + 1, changedDigest),
    }),
  ];
}

/** Bytes and milliseconds of a bundle change that comes into force. */
const measureChange = memoizeBySize((vms: number) => {
  const state = stateWithVms(vms);
  let bytes = 0;
  let milliseconds = Infinity;
  for (let change = 0; change < CHANGES; change++) {
    const payloads = changePayloads(state, 101 + change);
    bytes = payloads.reduce((sum, {length}) => sum + length, 0);
    const from = performance.now();
    for (const payload of payloads) {
      const {rejection} = applyPayload(state, payload);
      if (rejection) throw new Error(rejection.detail);
    }
    milliseconds = Math.min(milliseconds, performance.now() - from);
  }
  if (state.inForce!.bundle.version !== 1 + CHANGES)
    throw new Error('the changes did not come into force');
  return {bytes, milliseconds};
});

/** Measurements of the records of a day's events. */
export const RECORD_MEASUREMENTS: readonly Measurement[] = [
  {
    name: MeasuredLine.ReportBytes,
    unit: Unit.Bytes,
    per: 'VM reported',
    sizes: REPORTS,
    measure: reportBytes,
  },
  {
    name: MeasuredLine.MaintenanceBytes,
    unit: Unit.Bytes,
    per: 'VM maintained',
    sizes: REPORTS,
    measure: maintenanceBytes,
  },
  {
    name: MeasuredLine.BundleChangeBytes,
    unit: Unit.Bytes,
    per: PER_VM,
    sizes: VM_SIZES,
    measure: vms => measureChange(vms).bytes,
  },
  {
    name: MeasuredLine.BundleChangeFolded,
    unit: Unit.Milliseconds,
    per: PER_VM,
    sizes: VM_SIZES,
    measure: vms => measureChange(vms).milliseconds,
  },
];

import {
  RecordKind,
  applyPayload,
  sha256Hex,
  encodeRecord,
  makeDelta,
  parseBundle,
  stateHash,
  tablesOf,
  type FleetState,
} from '@gentiandoor/shared-state';
import type {Scenario, ScenarioResult, ScenarioRow} from '../scenario.js';
import {stateWithVms} from '../capacity/state-measurements.js';

const SIZES = [40, 1000, 8000, 31_000];
const RECORDS = 10_000;
const CHANGES = 10;

function drainRecords(vms: readonly string[], round: number): Uint8Array[] {
  return Array.from({length: RECORDS}, (_, index) =>
    encodeRecord({
      kind: index % 2 === 0 ? RecordKind.DrainStarted : RecordKind.DrainEnded,
      id: `${round}-${index}`,
      writer: 'bench',
      vm: vms[(index >> 1) % vms.length],
      reason: 'x',
    } as const),
  );
}

function recordsPerSecond(state: FleetState): number {
  const payloads = drainRecords([...state.vms.keys()], 1);
  const from = performance.now();
  for (const payload of payloads) applyPayload(state, payload);
  return (RECORDS * 1000) / (performance.now() - from);
}

function deltaMilliseconds(state: FleetState): {
  delta: number;
  whole: number;
  bytes: number;
} {
  const {parsed, text, digest} = state.inForce!;
  let delta = 0;
  let whole = 0;
  let bytes = 0;
  for (let index = 0; index < CHANGES; index++) {
    const changed = text
      .replace('version = 1\n', 'version = 2\n')
      .replace('base = 0\n', 'base = 1\n')
      .replace(/slots = 100\n/, `slots = ${101 + index}\n`);
    const payload = encodeRecord({
      kind: RecordKind.BundleChanged,
      id: `delta-${index}`,
      writer: 'bench',
      baseDigest: digest,
      digest: sha256Hex(changed),
      steps: makeDelta(parsed.sections, changed),
    });
    bytes = payload.length;
    const from = performance.now();
    const {rejection} = applyPayload(state, payload);
    delta += performance.now() - from;
    if (rejection) throw new Error(rejection.detail);
    const again = performance.now();
    parseBundle(changed);
    whole += performance.now() - again;
  }
  return {delta: delta / CHANGES, whole: whole / CHANGES, bytes};
}

function hashMicroseconds(state: FleetState): {kept: number; afresh: number} {
  const repeats = 1000;
  const from = performance.now();
  for (let index = 0; index < repeats; index++) stateHash(state);
  const kept = ((performance.now() - from) * 1000) / repeats;
  const again = performance.now();
  for (const [, table] of tablesOf(state)) table.recomputeHash();
  return {kept, afresh: (performance.now() - again) * 1000};
}

function measure(vms: number): ScenarioRow {
  global.gc?.();
  const before = process.memoryUsage().heapUsed;
  const from = performance.now();
  const state = stateWithVms(vms);
  const first = performance.now() - from;
  global.gc?.();
  const heap = process.memoryUsage().heapUsed - before;
  const {delta, whole, bytes} = deltaMilliseconds(state);
  const perSecond = recordsPerSecond(state);
  const {kept, afresh} = hashMicroseconds(state);
  return {
    label: `${vms} VMs`,
    values: {
      pools: Object.keys(state.inForce!.bundle.pools).length,
      records_a_second: Math.round(perSecond),
      hash_kept_us: kept,
      hash_afresh_us: afresh,
      first_bundle_ms: first,
      delta_ms: delta,
      whole_text_ms: whole,
      delta_bytes: bytes,
      text_bytes: state.inForce!.text.length,
      heap_megabytes: heap / 1e6,
    },
  };
}

async function run(): Promise<ScenarioResult> {
  return {rows: SIZES.map(measure), checks: []};
}

/** Measures the speed and memory of the fold by deployment size. */
export const fold: Scenario = {
  name: 'fold',
  description:
    'records a second, hash kept up against hash computed afresh, a delta against a whole text, heap by number of VMs (exact with node --expose-gc)',
  run,
};

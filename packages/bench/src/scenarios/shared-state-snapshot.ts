import {monitorEventLoopDelay} from 'node:perf_hooks';
import {
  splitSnapshot,
  decodeSnapshot,
  encodeSnapshot,
  stateHash,
} from '@gentiandoor/shared-state';
import type {
  Scenario,
  ScenarioCheck,
  ScenarioResult,
  ScenarioRow,
} from '../scenario.js';
import {stateWithVms} from '../capacity/state-measurements.js';

const SIZES = [40, 1000, 8000, 31_000];
const NANOSECONDS_PER_MILLISECOND = 1e6;

function yieldToEventLoop(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}

interface Timed<Result> {
  readonly result: Result;
  readonly milliseconds: number;
  readonly stall: number;
}

async function measureTime<Result>(
  action: () => Promise<Result>,
): Promise<Timed<Result>> {
  const delay = monitorEventLoopDelay({resolution: 1});
  await yieldToEventLoop();
  delay.enable();
  const from = performance.now();
  const result = await action();
  const milliseconds = performance.now() - from;
  await new Promise(resolve => setTimeout(resolve, 5));
  delay.disable();
  return {result, milliseconds, stall: delay.max / NANOSECONDS_PER_MILLISECOND};
}

async function measure(
  vms: number,
): Promise<{row: ScenarioRow; check: ScenarioCheck}> {
  const state = stateWithVms(vms);
  const written = await measureTime(() =>
    encodeSnapshot(state, yieldToEventLoop),
  );
  const read = await measureTime(() =>
    decodeSnapshot(written.result, state.trustedOperators, yieldToEventLoop),
  );
  const isSame = stateHash(read.result) === stateHash(state);
  return {
    row: {
      label: `${vms} VMs`,
      values: {
        bytes: written.result.length,
        records: splitSnapshot(state.nextOffset, written.result).length,
        write_ms: written.milliseconds,
        write_longest_stall_ms: written.stall,
        recover_ms: read.milliseconds,
        recover_longest_stall_ms: read.stall,
      },
    },
    check: {
      name: `${vms} VMs: the recovered state has the hash`,
      passed: isSame,
      detail: stateHash(state),
    },
  };
}

async function run(): Promise<ScenarioResult> {
  const measured = [];
  for (const vms of SIZES) measured.push(await measure(vms));
  return {
    rows: measured.map(({row}) => row),
    checks: measured.map(({check}) => check),
  };
}

/** Measures the size of a snapshot and the time to write it and to recover from it. */
export const snapshot: Scenario = {
  name: 'snapshot',
  description:
    'bytes and records of a snapshot, time to write and to recover, longest stall of the event loop meanwhile, by number of VMs',
  run,
};

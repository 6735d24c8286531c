import {monitorEventLoopDelay} from 'node:perf_hooks';
import {
  DecisionJournal,
  MemoryMetrics,
  SeededRandom,
  SystemClock,
  sleep,
} from '@gentiandoor/kernel';
import {OutcomeKind} from '@gentiandoor/decisions';
import {
  FailureDomain,
  KeyRule,
  ListedState,
  NoPeerLinks,
  WorkClass,
  emptyFleetState,
  parseSections,
  type ListedVm,
  type PeerLinks,
  type PoolEntry,
  type ServiceEntry,
} from '@gentiandoor/shared-state';
import {ServiceRouter} from '@gentiandoor/plugin-caller-http';
import type {Scenario, ScenarioResult, ScenarioRow} from '../scenario.js';

const SMALLEST_BUNDLE = `
[bundle]
version = 1
base = 0
author = moana
sign_offs = 0
`;
const SLOTS = 8;
const IN_FLIGHT = 32;
const ROUNDS = 20_000;
const CHANGES = 20;
const NANOSECONDS_IN_MILLISECOND = 1e6;
const MICROSECONDS_IN_MILLISECOND = 1000;
const BYTES_IN_MEGABYTE = 2 ** 20;

/** Number of pools and total number of their VMs. */
export interface RouterSize {
  readonly pools: number;
  readonly vms: number;
}

function poolEntry(vms: readonly string[]): PoolEntry {
  return {
    vms,
    slots: SLOTS,
    connections: 64,
    processors: 32,
    memoryGigabytes: 128,
    accelerators: 0,
  };
}

function serviceEntry(pool: string): ServiceEntry {
  return {
    pool,
    workClass: WorkClass.Short,
    deadlineMilliseconds: 30_000,
    waitMilliseconds: 1000,
    queueLimit: 64,
    keyRule: KeyRule.Optional,
    callersOnly: false,
    budget: {availableVms: 1, survive: FailureDomain.None, leavingAtOnce: 1},
  };
}

/**
 * Returns a router over `pools` pools with `vms` VMs in total, and a function that signals a
 * change.
 */
export function buildRouter(
  {pools, vms}: RouterSize,
  peerLinks: PeerLinks = new NoPeerLinks(),
) {
  const clock = new SystemClock();
  const state = emptyFleetState({});
  const parsed = parseSections(SMALLEST_BUNDLE);
  const list = new Map<string, ListedVm>();
  const poolEntries: Record<string, PoolEntry> = {};
  const services: Record<string, ServiceEntry> = {};
  for (let index = 0; index < pools; index++) {
    const ids = Array.from(
      {length: Math.floor(vms / pools)},
      (_, vm) => `vm-${index}-${vm}`,
    );
    const name = `pool-${index}`;
    poolEntries[name] = poolEntry(ids);
    services[name] = serviceEntry(name);
    for (const id of ids) {
      state.vms.set(id, {id, pool: name, epoch: 1});
      const place = {dataCentre: 'hall-a', rack: `rack-${index}`};
      const address = '127.0.0.1:1';
      list.set(id, {id, address, ...place, state: ListedState.Live});
    }
  }
  const bundle = {...parsed.bundle, pools: poolEntries, services};
  state.inForce = {bundle, parsed, text: '', digest: '', offset: 0};
  const listeners: Array<() => void> = [];
  const router = new ServiceRouter({
    clock,
    metrics: new MemoryMetrics(),
    decisionJournal: new DecisionJournal(clock),
    peerLinks,
    random: new SeededRandom(1),
    identity: {name: 'entry-1', dataCentre: 'hall-a', incarnation: 'one'},
    sharedState: {
      state,
      isLogReachable: true,
      publish: () =>
        Promise.reject(new Error('this benchmark publishes no records')),
      onChange: listener => listeners.push(listener),
    },
    vmList: {
      current: () => list,
      ageMilliseconds: () => 0,
      onChange: listener => listeners.push(listener),
    },
  });
  const change = () => listeners.forEach(listener => listener());
  return {clock, router, change};
}

function heapMegabytes(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed / BYTES_IN_MEGABYTE;
}

/** Measures the microseconds to acquire, report and release a slot while others are in flight. */
async function acquireMicroseconds(
  router: ServiceRouter,
  service: string,
): Promise<number> {
  const wanted = {service, idempotent: true};
  const held = await Promise.all(
    Array.from({length: IN_FLIGHT}, () => router.acquire(wanted)),
  );
  const outcome = {
    kind: OutcomeKind.Succeeded,
    latencyMilliseconds: 0,
    leaving: false,
  };
  const start = performance.now();
  for (let round = 0; round < ROUNDS; round++) {
    const slot = await router.acquire(wanted);
    slot.report(outcome);
    slot.release();
  }
  const milliseconds = performance.now() - start;
  for (const slot of held) slot.release();
  return (milliseconds / ROUNDS) * MICROSECONDS_IN_MILLISECOND;
}

/** Measures a request, the memory and a change of the router at one size. */
export async function measureRouter(size: RouterSize): Promise<ScenarioRow> {
  const before = heapMegabytes();
  const {clock, router, change} = buildRouter(size);
  const built = heapMegabytes();
  for (let index = 0; index < size.pools; index++) {
    const slot = await router.acquire({service: `pool-${index}`});
    slot.release();
  }
  const used = heapMegabytes();
  const first = await acquireMicroseconds(router, 'pool-0');
  const delay = monitorEventLoopDelay({resolution: 1});
  delay.enable();
  const cpu = process.cpuUsage();
  for (let round = 0; round < CHANGES; round++) {
    change();
    await sleep(clock, 200);
  }
  const spent = process.cpuUsage(cpu);
  delay.disable();
  const microseconds = (spent.user + spent.system) / CHANGES;
  return {
    label: `${size.pools} pools, ${size.vms} VMs`,
    values: {
      acquire_us: first,
      router_megabytes: used - built,
      input_megabytes: built - before,
      change_cpu_ms: microseconds / MICROSECONDS_IN_MILLISECOND,
      largest_pause_ms: delay.max / NANOSECONDS_IN_MILLISECOND,
    },
  };
}

const LARGEST_MEGABYTES = 64;

/**
 * Measures the cost of the router at a daemon that routes to the whole fleet, at current and
 * planned sizes.
 */
export const routerCost: Scenario = {
  name: 'decisions-cost',
  description:
    'real time: one request through the router, its memory, and a change of list or log, at sizes of today and to come (run node with --expose-gc)',
  async run(): Promise<ScenarioResult> {
    const rows: ScenarioRow[] = [];
    for (const size of [
      {pools: 5, vms: 40},
      {pools: 1, vms: 130},
      {pools: 60, vms: 7800},
      {pools: 239, vms: 31_000},
    ]) {
      rows.push(await measureRouter(size));
    }
    const largest = rows[rows.length - 1].values['router_megabytes'];
    return {
      rows,
      checks: [
        {
          name: 'half of the 128 MB of a node hold every pool',
          passed: largest < LARGEST_MEGABYTES,
          detail: `${largest.toFixed(1)} MB`,
        },
      ],
    };
  },
};

import {groupBy} from '@gentiandoor/kernel';
import {
  RecordKind,
  applyPayload,
  sha256Hex,
  emptyFleetState,
  encodeRecord,
  generateOperatorKeys,
  parseBundle,
  signBundle,
  type FleetRecord,
  type FleetState,
  type FoldOutcome,
} from '@gentiandoor/shared-state';

/** A pool of an example deployment and the availability budget of its only service. */
export interface ExamplePool {
  readonly name: string;
  readonly vms: number;
  readonly availableVms: number;
  readonly survive: string;
  readonly leavingAtOnce: number;
}

/** An example deployment whose VMs are spread evenly over data centres and racks. */
export interface ExampleDeployment {
  readonly dataCentres: readonly string[];
  readonly pools: readonly ExamplePool[];
  readonly vmsPerRack: number;
  readonly processors: number;
  readonly memoryGigabytes: number;
  readonly bufferWeight: number;
  readonly moveWeight: number;
  readonly teams: readonly ExampleTeam[];
}

/** A team of an example deployment. */
export interface ExampleTeam {
  readonly name: string;
  readonly weight: number;
  readonly slots: number;
  readonly urgent: boolean;
}

function pool(
  name: string,
  vms: number,
  availableVms: number,
  survive: string,
  leavingAtOnce = 1,
): ExamplePool {
  return {name, vms, availableVms, survive, leavingAtOnce};
}

/** Swan Coast: 40 workers in four data centres; spare VMs cost more than moves. */
export const SWAN_COAST: ExampleDeployment = {
  dataCentres: ['perth-a', 'perth-b', 'bunbury', 'mandurah'],
  pools: [
    pool('eligibility', 8, 5, 'data_centre'),
    pool('valuation', 8, 5, 'data_centre'),
    pool('repayment', 8, 5, 'data_centre'),
    pool('statements', 8, 4, 'data_centre', 2),
    pool('admin', 8, 4, 'data_centre', 2),
  ],
  vmsPerRack: 4,
  processors: 64,
  memoryGigabytes: 256,
  bufferWeight: 4,
  moveWeight: 1,
  teams: [
    {name: 'advisers', weight: 4, slots: 160, urgent: true},
    {name: 'auditors', weight: 1, slots: 80, urgent: false},
    {name: 'office', weight: 2, slots: 60, urgent: false},
  ],
};

/** Kingston: 35 workers in three data centres; moves cost more than spare VMs. */
export const KINGSTON: ExampleDeployment = {
  dataCentres: ['hall-a', 'hall-b', 'hall-c'],
  pools: [
    pool('counter-preview', 6, 3, 'data_centre'),
    pool('crest-works', 6, 3, 'data_centre'),
    pool('logo-desk', 8, 5, 'rack', 2),
    pool('school-emblems', 9, 5, 'data_centre'),
    pool('ledger-room', 6, 3, 'data_centre'),
  ],
  vmsPerRack: 4,
  processors: 32,
  memoryGigabytes: 128,
  bufferWeight: 1,
  moveWeight: 4,
  teams: [
    {name: 'counter', weight: 4, slots: 120, urgent: true},
    {name: 'cooperatives', weight: 1, slots: 120, urgent: false},
    {name: 'ledger', weight: 1, slots: 40, urgent: false},
  ],
};

/**
 * Returns a deployment of a given size. Budgets leave each pool one twelfth of its VMs (one data
 * centre) and a few more as spares.
 */
export function largeDeployment(vms: number, pools: number): ExampleDeployment {
  const dataCentres = Array.from({length: 12}, (_, n) => `dc-${n + 1}`);
  const vmsPerPool = Math.floor(vms / pools);
  return {
    dataCentres,
    pools: Array.from({length: pools}, (_, n) => {
      const size = vmsPerPool + (n < vms % pools ? 1 : 0);
      const leaving = Math.max(1, Math.floor(size / 40));
      const lost = Math.ceil(size / dataCentres.length);
      const needed = Math.max(1, size - lost - leaving - Math.ceil(size / 50));
      return pool(`pool-${n + 1}`, size, needed, 'data_centre', leaving);
    }),
    vmsPerRack: 16,
    processors: 64,
    memoryGigabytes: 256,
    bufferWeight: 1,
    moveWeight: 1,
    teams: Array.from({length: 210}, (_, n) => ({
      name: `team-${n + 1}`,
      weight: 1 + (n % 4),
      slots: 1000,
      urgent: n % 10 === 0,
    })),
  };
}

/** A VM of an example deployment with its pool, rack and data centre. */
export interface ExampleVm {
  readonly id: string;
  readonly pool: string;
  readonly rack: string;
  readonly dataCentre: string;
}

/** Returns the VMs of a deployment: round-robin over data centres, then over their racks. */
export function exampleVms(deployment: ExampleDeployment): ExampleVm[] {
  const {dataCentres, vmsPerRack} = deployment;
  const vmCounts = dataCentres.map(() => 0);
  const vms: ExampleVm[] = [];
  let turn = 0;
  const total = deployment.pools.reduce((sum, entry) => sum + entry.vms, 0);
  const perDataCentre = Math.ceil(total / dataCentres.length);
  const racks = Math.ceil(perDataCentre / vmsPerRack);
  for (const entry of deployment.pools) {
    for (let n = 0; n < entry.vms; n++) {
      const index = turn++ % dataCentres.length;
      const dataCentre = dataCentres[index];
      const rack = `${dataCentre}-r${(vmCounts[index]++ % racks) + 1}`;
      vms.push({
        id: `${entry.name}-${n + 1}`,
        pool: entry.name,
        rack,
        dataCentre,
      });
    }
  }
  return vms;
}

/** Returns the bundle text of a deployment. `vmsByPool` overrides the VMs of a pool by its name. */
export function exampleBundle(
  deployment: ExampleDeployment,
  version = 1,
  vmsByPool: ReadonlyMap<string, readonly string[]> = new Map(),
): string {
  const vms = exampleVms(deployment);
  const lines = [
    '[bundle]',
    `version = ${version}`,
    `base = ${version - 1}`,
    'author = moana',
    'sign_offs = 1',
    '[weights]',
    `buffer = ${deployment.bufferWeight}`,
    `move = ${deployment.moveWeight}`,
    '[operator.moana]',
    `public_key = ${EXAMPLE_AUTHOR.publicKey}`,
    '[operator.kerry]',
    `public_key = ${EXAMPLE_OPERATOR.publicKey}`,
  ];
  const racks = groupBy(vms, vm => vm.rack);
  for (const [rack, members] of racks) {
    lines.push(`[rack.${rack}]`, `data_centre = ${members[0].dataCentre}`);
    lines.push(`vms = ${members.map(vm => vm.id).join(', ')}`);
  }
  const owned = groupBy(vms, vm => vm.pool);
  for (const entry of deployment.pools) {
    const list =
      vmsByPool.get(entry.name) ??
      (owned.get(entry.name) ?? []).map(vm => vm.id);
    lines.push(...poolSections(deployment, entry, list));
  }
  for (const team of deployment.teams) {
    lines.push(`[team.${team.name}]`, `weight = ${team.weight}`);
    lines.push(
      `slots = ${team.slots}`,
      `urgent = ${team.urgent ? 'yes' : 'no'}`,
    );
  }
  return `${lines.join('\n')}\n`;
}

function poolSections(
  deployment: ExampleDeployment,
  entry: ExamplePool,
  vms: readonly string[],
): string[] {
  return [
    `[pool.${entry.name}]`,
    `vms = ${vms.join(', ')}`,
    `processors = ${deployment.processors}`,
    `memory_gigabytes = ${deployment.memoryGigabytes}`,
    `[service.${entry.name}]`,
    `pool = ${entry.name}`,
    `available_vms = ${entry.availableVms}`,
    `survive = ${entry.survive}`,
    `leaving_at_once = ${entry.leavingAtOnce}`,
  ];
}

/** Keys of the operator who proposes the example bundles. */
export const EXAMPLE_AUTHOR = generateOperatorKeys();
/** Keys of the operator whose sign-off is trusted before the first bundle. */
export const EXAMPLE_OPERATOR = generateOperatorKeys();

/** Public keys of the operators trusted before the first bundle of an example. */
export const EXAMPLE_TRUSTED_OPERATORS = {kerry: EXAMPLE_OPERATOR.publicKey};

/** Returns the proposal and the sign-off that bring a bundle into force. */
export function rollOutRecords(text: string): FleetRecord[] {
  const {version} = parseBundle(text);
  const digest = sha256Hex(text);
  return [
    {
      kind: RecordKind.BundleProposed,
      id: `propose-${version}-${digest}`,
      writer: 'moana',
      text,
    },
    {
      kind: RecordKind.BundleSigned,
      id: `sign-${version}-${digest}`,
      writer: 'kerry',
      version,
      digest,
      operator: 'kerry',
      signature: signBundle(EXAMPLE_OPERATOR.privateKey, version, digest),
    },
  ];
}

/** Returns the record by which a daemon joins as a member. */
export function joinRecord(
  name: string,
  incarnation: string,
  dataCentre: string,
): FleetRecord {
  return {
    kind: RecordKind.MemberJoined,
    id: `join-${incarnation}`,
    writer: incarnation,
    name,
    incarnation,
    dataCentre,
    peerAddress: '127.0.0.1:1',
    readsFormat: 1,
  };
}

/** Encodes a record and applies it with the production fold. */
export function foldRecord(
  state: FleetState,
  record: FleetRecord,
): FoldOutcome {
  return applyPayload(state, encodeRecord(record));
}

/** Returns a state with the bundle in force and one daemon joined in each data centre. */
export function exampleState(deployment: ExampleDeployment): FleetState {
  const state = emptyFleetState(EXAMPLE_TRUSTED_OPERATORS);
  const records = [
    ...rollOutRecords(exampleBundle(deployment)),
    ...deployment.dataCentres.map((name, n) =>
      joinRecord(`entry-${n + 1}`, `incarnation-${n + 1}`, name),
    ),
  ];
  for (const record of records) {
    const {rejection} = foldRecord(state, record);
    if (rejection) throw new Error(`example: ${rejection.detail}`);
  }
  return state;
}

import {randomUUID} from 'node:crypto';
import {
  RecordKind,
  encodeRecord,
  type FleetRecord,
  type FleetState,
} from '@gentiandoor/shared-state';
import {
  KINGSTON,
  exampleState,
  foldRecord,
  joinRecord,
} from '@gentiandoor/stand-ins';
import {MeasuredLine} from './measured-line.js';
import {
  Unit,
  retainedHeapBytes,
  memoizeBySize,
  type Measurement,
} from './measurement.js';

const MEMBERS = [8, 64, 512, 2048];
const MICROSECONDS = 1000;
const PER_MEMBER = 'member daemon';
const PLANNER = 'incarnation-1';
const WRITER = {writer: PLANNER, term: 1};

function joinRecords(members: number): FleetRecord[] {
  return Array.from({length: members}, (_, index) =>
    joinRecord(`member-${index}`, randomUUID(), `dc-${index % 12}`),
  );
}

function apply(state: FleetState, record: FleetRecord): void {
  const {rejection} = foldRecord(state, record);
  if (rejection) throw new Error(`${rejection.reason}: ${rejection.detail}`);
}

function stateWithMembers(records: readonly FleetRecord[]): FleetState {
  const state = exampleState(KINGSTON);
  for (const record of records) apply(state, record);
  apply(state, {
    kind: RecordKind.PlannerTaken,
    id: 'taken',
    writer: PLANNER,
    expectedTerm: 0,
    holder: PLANNER,
  });
  return state;
}

function acknowledgement(
  incarnation: string,
  vm: string,
  startedAt: number,
): FleetRecord {
  return {
    kind: RecordKind.DrainAcknowledged,
    id: randomUUID(),
    writer: incarnation,
    incarnation,
    acknowledgements: [{vm, startedAt}],
  };
}

/** Bytes and microseconds of a drain that every member acknowledges with its own record. */
const measureDrain = memoizeBySize((members: number) => {
  const state = stateWithMembers(
    joinRecords(members - KINGSTON.dataCentres.length),
  );
  const [vm] = state.vms.keys();
  const wave = 'wave-1';
  apply(state, {
    ...WRITER,
    kind: RecordKind.WaveStarted,
    id: 'wave',
    wave,
    reason: 'measured',
    scope: {},
  });
  const from = performance.now();
  apply(state, {
    ...WRITER,
    kind: RecordKind.MaintenanceStarted,
    id: 'started',
    vm,
    wave,
    reason: 'measured',
  });
  let microseconds = (performance.now() - from) * MICROSECONDS;
  let bytes = 0;
  for (const incarnation of [...state.members.keys()]) {
    const {startedAt} = state.work.get(vm)!;
    const record = acknowledgement(incarnation, vm, startedAt);
    bytes += encodeRecord(record).length;
    const start = performance.now();
    apply(state, record);
    microseconds += (performance.now() - start) * MICROSECONDS;
  }
  if (state.work.get(vm)!.awaiting.length > 0)
    throw new Error('expected an acknowledgement from every member');
  return {bytes, microseconds};
});

const TIMED_JOINS = 50;

/** Returns the mean microseconds of a join after `members` others. */
function joinMicroseconds(members: number): number {
  const state = stateWithMembers(joinRecords(members));
  const late = Array.from({length: TIMED_JOINS}, (_, index) =>
    joinRecord(`late-${index}`, randomUUID(), 'dc-0'),
  );
  const from = performance.now();
  for (const record of late) apply(state, record);
  return ((performance.now() - from) * MICROSECONDS) / TIMED_JOINS;
}

function joinBytes(members: number): number {
  return joinRecords(members)
    .map(record => encodeRecord(record).length)
    .reduce((sum, bytes) => sum + bytes, 0);
}

/** Measurements of what grows with the number of daemons. */
export const MEMBER_MEASUREMENTS: readonly Measurement[] = [
  {
    name: MeasuredLine.AcknowledgementBytes,
    unit: Unit.Bytes,
    per: PER_MEMBER,
    sizes: MEMBERS,
    measure: members => measureDrain(members).bytes,
  },
  {
    name: MeasuredLine.AcknowledgementTime,
    unit: Unit.Microseconds,
    per: PER_MEMBER,
    sizes: MEMBERS,
    measure: members => measureDrain(members).microseconds,
  },
  {
    name: MeasuredLine.JoinBytes,
    unit: Unit.Bytes,
    per: PER_MEMBER,
    sizes: MEMBERS,
    measure: joinBytes,
  },
  {
    name: MeasuredLine.MemberMemory,
    unit: Unit.Bytes,
    per: PER_MEMBER,
    sizes: MEMBERS,
    measure: members =>
      retainedHeapBytes(() => stateWithMembers(joinRecords(members))),
  },
  {
    name: MeasuredLine.JoinTime,
    unit: Unit.Microseconds,
    per: PER_MEMBER,
    sizes: MEMBERS,
    measure: joinMicroseconds,
  },
];

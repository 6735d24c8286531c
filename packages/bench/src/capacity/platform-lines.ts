import {
  ENTRY_COUNTS,
  LOG_APPENDS_A_SECOND,
  NODE_BOUNDS,
  SECONDS_AN_HOUR,
  SECONDS_A_DAY,
  PLANNED_DEPLOYMENT,
} from './planned-deployment.js';
import {figure, quantity, type Estimates} from './estimates.js';
import {flowOf} from './fleet-stream.js';
import {MeasuredLine} from './measured-line.js';
import {Unit} from './measurement.js';
import {BoundStatus, compareWithBound, type RoleLine} from './role-line.js';

/** Defaults of the settings that the estimates depend on. */
const SNAPSHOT_RECORDS = 5000;
const SNAPSHOT_HOURS = 6;
const CLAIM_APPENDS_A_SECOND = 40;
const READ_WAIT_SECONDS = 5;
const READ_LIMIT = 1000;

function logLines(estimates: Estimates, daemons: number): RoleLine[] {
  const {recordsPerSecond, wirePerSecond} = flowOf(estimates, daemons);
  const label = `${figure(daemons)} daemons`;
  const claims = daemons * CLAIM_APPENDS_A_SECOND;
  const out = daemons * wirePerSecond;
  return [
    {
      what: `appends a second to the fleet stream, ${label}`,
      arithmetic: `${figure(recordsPerSecond)} records a second, each its own append at worst`,
      result: `${figure(recordsPerSecond)} a second`,
      boundComparison: compareWithBound(recordsPerSecond, LOG_APPENDS_A_SECOND),
      mechanism: 'group commit, 20 appends a second a daemon at most',
    },
    {
      what: `appends a second to the claims stream at most, ${label}`,
      arithmetic: `${figure(daemons)} x 1,000 ms / 25 ms`,
      result: `${figure(claims)} a second`,
      boundComparison: compareWithBound(claims, LOG_APPENDS_A_SECOND),
      mechanism:
        'group commit, setting append_interval_milliseconds of [once-only]',
    },
    {
      what: `reads a second of the fleet stream, ${label}`,
      arithmetic: `${figure(daemons)} x (1 / ${READ_WAIT_SECONDS} s + ${figure(Math.min(recordsPerSecond, 20))})`,
      result: `${figure(daemons * (1 / READ_WAIT_SECONDS + Math.min(recordsPerSecond, 20)))} a second`,
      boundComparison: BoundStatus.NoBound,
      mechanism: 'one long poll a daemon',
    },
    {
      what: `bytes a second out of the log, ${label}`,
      arithmetic: `${figure(daemons)} x ${quantity(wirePerSecond, Unit.BytesPerSecond)}`,
      result: quantity(out, Unit.BytesPerSecond),
      boundComparison: BoundStatus.NoBound,
      mechanism: 'each daemon reads all records itself',
    },
  ];
}

function snapshotLines(estimates: Estimates, daemons: number): RoleLine[] {
  const {recordsPerSecond} = flowOf(estimates, daemons);
  const size = estimates.at(MeasuredLine.SnapshotBytes, PLANNED_DEPLOYMENT.vms);
  const byRecords = SNAPSHOT_RECORDS / recordsPerSecond / SECONDS_AN_HOUR;
  const hours = Math.min(byRecords, SNAPSHOT_HOURS);
  const perDay = (24 / hours) * size.value;
  return [
    {
      what: `hours between snapshots, ${figure(daemons)} daemons`,
      arithmetic: `least of 5,000 / ${figure(recordsPerSecond)} a second and 6 h`,
      result: `${figure(hours)} h`,
      boundComparison: `the log must keep more than ${figure(2 * hours)} h`,
      mechanism:
        'snapshot duty; also once the last one is in the older half of what is kept',
    },
    {
      what: `bytes of snapshots a day, ${figure(daemons)} daemons`,
      arithmetic: `24 h / ${figure(hours)} h x ${quantity(size.value, Unit.Bytes)}`,
      result: quantity(perDay, Unit.Bytes),
      boundComparison: quantity(perDay / SECONDS_A_DAY, Unit.BytesPerSecond),
      mechanism: 'one member in turn writes, in records of 128,000 bytes',
    },
  ];
}

/** Returns lines for the daemons' load on the platform's log and list. */
export function platformLines(estimates: Estimates): RoleLine[] {
  const whole = estimates.at(MeasuredLine.ListAnswer, PLANNED_DEPLOYMENT.vms);
  return [
    ...ENTRY_COUNTS.flatMap(({daemons}) => [
      ...logLines(estimates, daemons),
      ...snapshotLines(estimates, daemons),
    ]),
    {
      what: 'whole list, once a start of a daemon',
      arithmetic: whole.text,
      result: quantity(whole.value, Unit.Bytes),
      boundComparison: `${figure(whole.value / NODE_BOUNDS.bytesPerSecond)} s of a node's bytes`,
      mechanism: 'later answers carry changes only',
    },
  ];
}

/** Returns lines for a daemon that catches up after its region was partitioned for an hour. */
export function returnLines(estimates: Estimates): RoleLine[] {
  const fold = estimates.at(
    MeasuredLine.RecordFolded,
    PLANNED_DEPLOYMENT.vms,
  ).value;
  const change = estimates.at(
    MeasuredLine.BundleChangeFolded,
    PLANNED_DEPLOYMENT.vms,
  ).value;
  const changes =
    (PLANNED_DEPLOYMENT.changesADay * SECONDS_AN_HOUR) / SECONDS_A_DAY;
  return ENTRY_COUNTS.map(({daemons}) => {
    const {recordsPerSecond, payloadPerSecond} = flowOf(estimates, daemons);
    const records = recordsPerSecond * SECONDS_AN_HOUR;
    const bytes = payloadPerSecond * SECONDS_AN_HOUR;
    const seconds = (records * fold) / 1e6 + (changes * change) / 1000;
    const reads = Math.ceil(records / READ_LIMIT);
    return {
      what: `return after an hour, ${figure(daemons)} daemons`,
      arithmetic: `${figure(records)} records x ${figure(fold)} us + ${figure(changes)} changes x ${figure(change)} ms, in ${reads} reads`,
      result: `${quantity(bytes, Unit.Bytes)}, ${figure(seconds)} s of processor time`,
      boundComparison: `${figure(bytes / NODE_BOUNDS.bytesPerSecond)} s of a node's bytes`,
      mechanism:
        'reads of 1,000 records, fold in slices; a snapshot when the records are no longer kept',
    };
  });
}

/** Returns lines for 10,000 bundle changes a day, each in force within 6 s. */
export function changeLines(estimates: Estimates): RoleLine[] {
  const fold = estimates.at(
    MeasuredLine.BundleChangeFolded,
    PLANNED_DEPLOYMENT.vms,
  );
  const between = SECONDS_A_DAY / PLANNED_DEPLOYMENT.changesADay;
  return [
    {
      what: 'seconds between changes, spread over the day',
      arithmetic: '86,400 / 10,000',
      result: `${figure(between)} s`,
      boundComparison: BoundStatus.NoBound,
      mechanism: 'a change names its base: one comes into force at a time',
    },
    {
      what: 'fold of a change and its sign-off at each daemon',
      arithmetic: fold.text,
      result: `${figure(fold.value)} ms`,
      boundComparison: compareWithBound(fold.value, 6000),
      mechanism: 'delta of sections; only changed sections are parsed',
    },
    {
      what: 'changes one after another within 6 s, by the fold alone',
      arithmetic: `6,000 / ${figure(fold.value)}`,
      result: figure(6000 / fold.value),
      boundComparison: BoundStatus.NoBound,
      mechanism: 'as above; round trips to the log come on top of it',
    },
  ];
}

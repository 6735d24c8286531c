import {
  MAINTAINED_A_DAY,
  SECONDS_A_DAY,
  PLANNED_DEPLOYMENT,
} from './planned-deployment.js';
import type {Estimates} from './estimates.js';
import {MeasuredLine} from './measured-line.js';

const RECORDS_PER_CHANGE = 2;
const RECORDS_PER_MAINTENANCE = 4;
/** One report when a VM goes down and one when it is back. */
const REPORTS_PER_EVENT = 2;
const RENEWAL_SECONDS = 15;
/** Reads per second of a daemon under a constant flow of records (scenario control-cost). */
const MAXIMUM_READS_A_SECOND = 20;
/** Record size in the measurement of reads. */
const RECORD_BYTES = 200;

/** Number and bytes of the records of one kind on an ordinary day. */
export interface DailyRecords {
  readonly what: string;
  readonly arithmetic: string;
  readonly records: number;
  readonly bytes: number;
}

/** Drains per day that every member acknowledges, for maintenance and repairs. */
export const DRAINS_A_DAY = MAINTAINED_A_DAY + PLANNED_DEPLOYMENT.failuresADay;

/** Returns the records of an ordinary day on the fleet stream with `daemons` members. */
export function dailyRecords(
  estimates: Estimates,
  daemons: number,
): DailyRecords[] {
  const events =
    PLANNED_DEPLOYMENT.restartsADay +
    PLANNED_DEPLOYMENT.failuresADay +
    MAINTAINED_A_DAY;
  const reports = REPORTS_PER_EVENT * events;
  const joins =
    (daemons * PLANNED_DEPLOYMENT.restartsADay) / PLANNED_DEPLOYMENT.vms;
  const renewals = SECONDS_A_DAY / RENEWAL_SECONDS;
  const bytesOf = (line: MeasuredLine, size: number) =>
    estimates.at(line, size).value;
  return [
    {
      what: 'bundle changes and sign-offs',
      arithmetic: '10,000 x 2',
      records: PLANNED_DEPLOYMENT.changesADay * RECORDS_PER_CHANGE,
      bytes:
        PLANNED_DEPLOYMENT.changesADay *
        bytesOf(MeasuredLine.BundleChangeBytes, PLANNED_DEPLOYMENT.vms),
    },
    {
      what: 'conditions of VMs, each its own record',
      arithmetic: '2 x (10,000 + 210 + 31,000 / 35)',
      records: reports,
      bytes: reports * bytesOf(MeasuredLine.ReportBytes, 1),
    },
    {
      what: 'steps of maintenance and repair',
      arithmetic: '4 x (31,000 / 35 + 210)',
      records: RECORDS_PER_MAINTENANCE * DRAINS_A_DAY,
      bytes: DRAINS_A_DAY * bytesOf(MeasuredLine.MaintenanceBytes, 1),
    },
    {
      what: 'acknowledgements of drains by every member',
      arithmetic: `(31,000 / 35 + 210) x ${daemons} daemons`,
      records: DRAINS_A_DAY * daemons,
      bytes: DRAINS_A_DAY * bytesOf(MeasuredLine.AcknowledgementBytes, daemons),
    },
    {
      what: 'joins of daemons, replaced as often as other VMs',
      arithmetic: `${daemons} x 10,000 / 31,000`,
      records: joins,
      bytes: joins * estimates.perUnit(MeasuredLine.JoinBytes),
    },
    {
      what: 'renewals of the planner, at most',
      arithmetic: '86,400 / 15',
      records: renewals,
      bytes: renewals * estimates.intercept(MeasuredLine.ReportBytes),
    },
  ];
}

/** Mean throughput of the fleet stream on an ordinary day. */
export interface StreamFlow {
  readonly recordsPerSecond: number;
  /** Payload bytes. */
  readonly payloadPerSecond: number;
  readonly readsPerSecond: number;
  /** Bytes over HTTP at each reading daemon. */
  readonly wirePerSecond: number;
}

/** Returns the mean throughput of the day's records. */
export function flowOf(estimates: Estimates, daemons: number): StreamFlow {
  const day = dailyRecords(estimates, daemons);
  const records = day.reduce((sum, entry) => sum + entry.records, 0);
  const bytes = day.reduce((sum, entry) => sum + entry.bytes, 0);
  const recordsPerSecond = records / SECONDS_A_DAY;
  const payloadPerSecond = bytes / SECONDS_A_DAY;
  const readsPerSecond = Math.min(recordsPerSecond, MAXIMUM_READS_A_SECOND);
  const headPerRecord = Math.max(
    0,
    estimates.perUnit(MeasuredLine.ReadTraffic) - RECORD_BYTES,
  );
  const wirePerSecond =
    readsPerSecond * estimates.intercept(MeasuredLine.ReadTraffic) +
    recordsPerSecond * headPerRecord +
    payloadPerSecond;
  return {recordsPerSecond, payloadPerSecond, readsPerSecond, wirePerSecond};
}

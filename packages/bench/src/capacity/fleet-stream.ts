import {
  MAINTAINED_A_DAY,
  SECONDS_A_DAY,
  PLANNED_DEPLOYMENT,
} from './planned-deployment.js';
import type {Estimates} from './estimates.js';
import {MeasuredLine} from './measured-line.js';

const RECORDS_OF_A_CHANGE = 2;
const RECORDS_OF_MAINTENANCE = 4;
/** A VM goes and comes back. */
const REPORTS_OF_AN_EVENT = 2;
const RENEWAL_SECONDS = 15;
/** Reads a second of a daemon while records come all the time (scenario control-cost). */
const MOST_READS_A_SECOND = 20;
/** Bytes of a record in the measurement of reads. */
const RECORD_BYTES = 200;

/** Records of one kind on an ordinary day. */
export interface DailyRecords {
  readonly what: string;
  readonly arithmetic: string;
  readonly records: number;
  readonly bytes: number;
}

/** Drains that every member acknowledges, a day: maintenance and repairs. */
export const DRAINS_A_DAY = MAINTAINED_A_DAY + PLANNED_DEPLOYMENT.failuresADay;

/** What an ordinary day writes to the fleet stream when that many daemons are members. */
export function dailyRecords(
  estimates: Estimates,
  daemons: number,
): DailyRecords[] {
  const events =
    PLANNED_DEPLOYMENT.restartsADay +
    PLANNED_DEPLOYMENT.failuresADay +
    MAINTAINED_A_DAY;
  const reports = REPORTS_OF_AN_EVENT * events;
  const joins =
    (daemons * PLANNED_DEPLOYMENT.restartsADay) / PLANNED_DEPLOYMENT.vms;
  const renewals = SECONDS_A_DAY / RENEWAL_SECONDS;
  const bytesOf = (line: MeasuredLine, size: number) =>
    estimates.at(line, size).value;
  return [
    {
      what: 'bundle changes and sign-offs',
      arithmetic: '10,000 x 2',
      records: PLANNED_DEPLOYMENT.changesADay * RECORDS_OF_A_CHANGE,
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
      records: RECORDS_OF_MAINTENANCE * DRAINS_A_DAY,
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

/** The fleet stream's mean flow on an ordinary day. */
export interface StreamFlow {
  readonly recordsPerSecond: number;
  /** Of payloads. */
  readonly payloadPerSecond: number;
  readonly readsPerSecond: number;
  /** Over HTTP, at one daemon that reads it. */
  readonly wirePerSecond: number;
}

/** Sums the day's records up to a mean flow. */
export function flowOf(estimates: Estimates, daemons: number): StreamFlow {
  const day = dailyRecords(estimates, daemons);
  const records = day.reduce((sum, entry) => sum + entry.records, 0);
  const bytes = day.reduce((sum, entry) => sum + entry.bytes, 0);
  const recordsPerSecond = records / SECONDS_A_DAY;
  const payloadPerSecond = bytes / SECONDS_A_DAY;
  const readsPerSecond = Math.min(recordsPerSecond, MOST_READS_A_SECOND);
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

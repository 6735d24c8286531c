import {
  ENTRY_COUNTS,
  LINKS_OF_A_DAEMON,
  MAINTAINED_A_DAY,
  NODE_BOUNDS,
  SECONDS_A_DAY,
  PLANNED_DEPLOYMENT,
} from './planned-deployment.js';
import {figure, quantity, type Estimates} from './estimates.js';
import {DRAINS_A_DAY, flowOf} from './fleet-stream.js';
import {MeasuredLine} from './measured-line.js';
import {Unit} from './measurement.js';
import {BoundStatus, compareWithBound, type RoleLine} from './role-line.js';

/** Limit in bytes per second for all target summaries (load-summaries.ts). */
const TARGET_SUMMARY_BYTES = 4000;
/** Maximum time that receivers use a summary (load-summaries.ts). */
const MAXIMUM_EXPIRY_MILLISECONDS = 60_000;
/** Maximum refreshes per second, because the router batches changes (pool-table.ts). */
const MAXIMUM_REFRESHES_A_SECOND = 50;
const MILLISECONDS = 1000;
const MICROSECONDS = 1e6;

/**
 * Returns the changes per second of the platform's list; a VM that leaves it also returns to it.
 */
function listChangesPerSecond(): number {
  const {restartsADay, failuresADay} = PLANNED_DEPLOYMENT;
  return (2 * (restartsADay + failuresADay + MAINTAINED_A_DAY)) / SECONDS_A_DAY;
}

/** Returns the bytes per second of an entry daemon without keyed requests, by purpose. */
function bytesPerSecondByPurpose(estimates: Estimates, daemons: number) {
  const {wirePerSecond} = flowOf(estimates, daemons);
  const links = Math.min(LINKS_OF_A_DAEMON, daemons - 1);
  const linkBytes = estimates.at(MeasuredLine.LinkTraffic, links).value;
  const listBytes =
    estimates.intercept(MeasuredLine.ListDelta) +
    listChangesPerSecond() * estimates.perUnit(MeasuredLine.ListDelta);
  return {
    stream: wirePerSecond,
    links: linkBytes,
    list: listBytes,
    'target summaries at most': TARGET_SUMMARY_BYTES,
  };
}

/** Returns the share of a core that an entry daemon uses without requests, by purpose. */
function coreShareByPurpose(estimates: Estimates, daemons: number) {
  const {recordsPerSecond} = flowOf(estimates, daemons);
  const links = Math.min(LINKS_OF_A_DAEMON, daemons - 1);
  const plainRecords =
    recordsPerSecond - (DRAINS_A_DAY * daemons) / SECONDS_A_DAY;
  const changeMilliseconds = estimates.at(
    MeasuredLine.BundleChangeFolded,
    PLANNED_DEPLOYMENT.vms,
  ).value;
  // The router refreshes only after bundles and records that change a VM's owner or drain.
  const refreshingRecords = 2 * DRAINS_A_DAY + PLANNED_DEPLOYMENT.changesADay;
  const refreshes = Math.min(
    refreshingRecords / SECONDS_A_DAY + listChangesPerSecond(),
    MAXIMUM_REFRESHES_A_SECOND,
  );
  return {
    links: estimates.at(MeasuredLine.LinkProcessor, links).value,
    records:
      (plainRecords *
        estimates.at(MeasuredLine.RecordFolded, PLANNED_DEPLOYMENT.vms).value) /
      MICROSECONDS,
    acknowledgements:
      (DRAINS_A_DAY * acknowledgementMicroseconds(estimates, daemons)) /
      SECONDS_A_DAY /
      MICROSECONDS,
    changes:
      ((PLANNED_DEPLOYMENT.changesADay / SECONDS_A_DAY) * changeMilliseconds) /
      MILLISECONDS,
    router:
      (refreshes *
        estimates.at(MeasuredLine.RouterChange, PLANNED_DEPLOYMENT.pools)
          .value) /
      MILLISECONDS,
  };
}

/** Estimates the time by the measured exponent, because it grows faster than linearly. */
function acknowledgementMicroseconds(
  estimates: Estimates,
  daemons: number,
): number {
  return estimates.byExponent(MeasuredLine.AcknowledgementTime, daemons);
}

function sumOf(parts: Readonly<Record<string, number>>): number {
  return Object.values(parts).reduce((sum, value) => sum + value, 0);
}

function formatSum(
  parts: Readonly<Record<string, number>>,
  unit: Unit,
): string {
  return Object.entries(parts)
    .map(([name, value]) => `${name} ${quantity(value, unit)}`)
    .join(' + ');
}

/**
 * Returns lines for bytes per second and processor time of an entry daemon by number of daemons.
 */
export function entryFlowLines(estimates: Estimates): RoleLine[] {
  return ENTRY_COUNTS.flatMap(({daemons}) => {
    const bytes = bytesPerSecondByPurpose(estimates, daemons);
    const core = coreShareByPurpose(estimates, daemons);
    const label = `${figure(daemons)} daemons`;
    return [
      {
        what: `bytes a second, ${label}`,
        arithmetic: formatSum(bytes, Unit.BytesPerSecond),
        result: quantity(sumOf(bytes), Unit.BytesPerSecond),
        boundComparison: compareWithBound(
          sumOf(bytes),
          NODE_BOUNDS.bytesPerSecond,
        ),
        mechanism:
          'long polls, deltas, fixed number of links; every daemon reads the whole stream',
      },
      {
        what: `processor time, ${label}`,
        arithmetic: formatSum(core, Unit.CoreShare),
        result: quantity(sumOf(core), Unit.CoreShare),
        boundComparison: compareWithBound(sumOf(core), NODE_BOUNDS.coreShare),
        mechanism:
          'incremental hash and delta fold; router rebuilt after a change of a VM, the bundle or the list, at most 50 times a second',
      },
    ];
  });
}

/** Returns lines for the expiry of target summaries by the number of targets in use. */
export function targetSummaryLines(estimates: Estimates): RoleLine[] {
  const perDataCentre = Math.round(
    PLANNED_DEPLOYMENT.vms / PLANNED_DEPLOYMENT.dataCentres,
  );
  return [160, perDataCentre, PLANNED_DEPLOYMENT.vms].map(targets => {
    const line = MeasuredLine.TargetSummaryExpiry;
    const expiry = estimates.at(line, targets);
    const milliseconds = Math.min(expiry.value, MAXIMUM_EXPIRY_MILLISECONDS);
    return {
      what: `target summaries, ${figure(targets)} targets in use, 32 links: good for`,
      arithmetic: `least of ${expiry.text} and 60 s`,
      result: `${figure(milliseconds / MILLISECONDS)} s`,
      boundComparison: compareWithBound(
        milliseconds,
        MAXIMUM_EXPIRY_MILLISECONDS,
      ),
      mechanism: `the pace falls so that all summaries take ${TARGET_SUMMARY_BYTES} bytes a second; of more targets than that allows within 60 s the busiest are told`,
    };
  });
}

/** Returns lines for the cost of keyed requests at every daemon. */
export function claimLines(estimates: Estimates): RoleLine[] {
  const bytes = estimates.perUnit(MeasuredLine.ClaimBatch);
  const memory = 200_000;
  return [
    {
      what: 'keyed requests a second in all at which claims alone take the bound',
      arithmetic: `7,000 / ${figure(bytes)} bytes a claim, without heads of reads and outcomes`,
      result: `${figure(NODE_BOUNDS.bytesPerSecond / bytes)} a second`,
      boundComparison: BoundStatus.NoBound,
      mechanism: 'every daemon reads every claim (ClaimsFollower)',
    },
    {
      what: 'time for which 200,000 remembered claims last at that pace',
      arithmetic: `200,000 / ${figure(NODE_BOUNDS.bytesPerSecond / bytes)}`,
      result: `${figure(memory / (NODE_BOUNDS.bytesPerSecond / bytes))} s`,
      boundComparison: BoundStatus.NoBound,
      mechanism: 'setting keys of [once-only]',
    },
  ];
}

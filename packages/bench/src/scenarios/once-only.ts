import {RequestError, SystemClock, sleep} from '@gentiandoor/kernel';
import {LocalIdempotencyGuard} from '@gentiandoor/plugin-once-only';
import {
  ClaimTable,
  claimFingerprintDigest,
  claimKeyDigest,
  encodeClaimBatch,
  StreamName,
  type IdempotencyGuard,
} from '@gentiandoor/shared-state';
import {build} from 'hdr-histogram-js';
import type {
  Scenario,
  ScenarioCheck,
  ScenarioContext,
  ScenarioRow,
} from '../scenario.js';
import {ClaimsFleet, runOne} from './once-only-fleet.js';

const DAEMONS = 7;
const APPENDS_PER_SECOND = 500;
const APPEND_MILLISECONDS = [5, 20, 100];
const REQUESTS_PER_SECOND = [10, 100, 700];
const LOAD_MILLISECONDS = 2000;
const MICROSECONDS_PER_MILLISECOND = 1000;
const TICK_MILLISECONDS = 5;
/** Limit that the documented defaults are checked against. */
const MAXIMUM_APPENDS_PER_SECOND = 300;

interface Load {
  readonly begin: readonly IdempotencyGuard[];
  readonly perSecond: number;
  readonly milliseconds: number;
}

interface LoadResult {
  readonly row: Record<string, number>;
  readonly refused: number;
}

/** Runs an open-loop load: requests arrive on schedule whether or not earlier ones have ended. */
async function runOpenLoop({
  begin,
  perSecond,
  milliseconds,
}: Load): Promise<LoadResult> {
  const clock = new SystemClock();
  const histogram = build({highestTrackableValue: 60_000_000});
  const work: Array<Promise<void>> = [];
  let refused = 0;
  let sent = 0;
  const startedAt = clock.monotonicMilliseconds();
  const runAt = async (index: number) => {
    const at = clock.monotonicMilliseconds();
    try {
      await runOne(begin[index % begin.length], `key-${index}`);
      const took = clock.monotonicMilliseconds() - at;
      histogram.recordValue(
        Math.max(1, Math.round(took * MICROSECONDS_PER_MILLISECOND)),
      );
    } catch (error) {
      if (!(error instanceof RequestError)) throw error;
      refused++;
    }
  };
  for (;;) {
    const elapsed = clock.monotonicMilliseconds() - startedAt;
    if (elapsed >= milliseconds) break;
    const due = Math.floor((elapsed * perSecond) / 1000);
    while (sent < due) work.push(runAt(sent++));
    await sleep(clock, TICK_MILLISECONDS);
  }
  await Promise.all(work);
  const inMilliseconds = (share: number) =>
    histogram.totalCount === 0
      ? -1
      : histogram.getValueAtPercentile(share) / MICROSECONDS_PER_MILLISECOND;
  return {
    refused,
    row: {
      'requests/s': perSecond,
      'p50 ms': inMilliseconds(50),
      'p99 ms': inMilliseconds(99),
      'refused %': (100 * refused) / Math.max(1, sent),
    },
  };
}

/** Compared ways to recognise repeated keys; the values are printed. */
enum Way {
  Local = 'at one daemon only',
  GroupCommit = 'claims in the log, group commit',
  OneByOne = 'claims in the log, one append a claim',
}

const SETTINGS: Readonly<Record<Way, Readonly<Record<string, string>>>> = {
  [Way.Local]: {},
  [Way.GroupCommit]: {},
  [Way.OneByOne]: {batch_limit: '1', append_interval_milliseconds: '0'},
};

async function measure(
  way: Way,
  appendMilliseconds: number,
  perSecond: number,
  milliseconds: number,
): Promise<{row: ScenarioRow; appendsPerSecond: number; refused: number}> {
  const clock = new SystemClock();
  const fleet = new ClaimsFleet(
    clock,
    appendMilliseconds,
    APPENDS_PER_SECOND,
    SETTINGS[way],
  );
  const local = Array.from(
    {length: DAEMONS},
    () => new LocalIdempotencyGuard({onceOnlyOptions: {keys: 100_000}}),
  );
  if (way !== Way.Local) await fleet.start(DAEMONS);
  await sleep(clock, 2 * appendMilliseconds);
  const before = fleet.log.appends;
  const startedAt = clock.monotonicMilliseconds();
  const begin = way === Way.Local ? local : fleet.daemons;
  const {row, refused} = await runOpenLoop({begin, perSecond, milliseconds});
  const took = clock.monotonicMilliseconds() - startedAt;
  const appendsPerSecond = ((fleet.log.appends - before) * 1000) / took;
  await fleet.stop();
  return {
    refused,
    appendsPerSecond,
    row: {
      label: `${way}, append ${appendMilliseconds} ms`,
      values: {...row, 'appends/s': appendsPerSecond},
    },
  };
}

/** Measures the latency that a claim adds and the appends that it needs. */
const LATENCY: Scenario = {
  name: 'once-only',
  description:
    'keyed requests at 7 daemons over one log of 500 appends a second: latency added and appends, by load and append latency',
  async run({scale}: ScenarioContext) {
    const rows: ScenarioRow[] = [];
    let maximumAppends = 0;
    let refused = 0;
    for (const appendMilliseconds of APPEND_MILLISECONDS) {
      for (const perSecond of REQUESTS_PER_SECOND) {
        for (const way of Object.values(Way)) {
          const measured = await measure(
            way,
            appendMilliseconds,
            perSecond,
            LOAD_MILLISECONDS * scale,
          );
          rows.push(measured.row);
          if (way !== Way.GroupCommit) continue;
          maximumAppends = Math.max(maximumAppends, measured.appendsPerSecond);
          refused += measured.refused;
        }
      }
    }
    return {rows, checks: checksOf(maximumAppends, refused)};
  },
};

function checksOf(maximumAppends: number, refused: number): ScenarioCheck[] {
  return [
    {
      name: 'group commit stays within its share of the log',
      passed: maximumAppends <= MAXIMUM_APPENDS_PER_SECOND,
      detail: `${maximumAppends.toFixed(0)} appends/s at most, aim ${MAXIMUM_APPENDS_PER_SECOND}`,
    },
    {
      name: 'group commit refuses nobody while the log answers',
      passed: refused === 0,
      detail: `${refused} refused`,
    },
  ];
}

const KEPT_CLAIMS = [10_000, 50_000, 200_000];
const BATCH = 64;
const RECOVERY_STEP_MILLISECONDS = 2;

/** Measures the memory of kept claims and the time that a new daemon needs to read them. */
const RECOVERY: Scenario = {
  name: 'once-only-recovery',
  description:
    'bytes of memory a remembered claim, bytes of the log, and the time a fresh daemon takes to read all claims, by claims kept',
  async run() {
    const rows: ScenarioRow[] = [];
    for (const kept of KEPT_CLAIMS) rows.push(await recover(kept));
    return {rows, checks: []};
  },
};

async function recover(kept: number): Promise<ScenarioRow> {
  const clock = new SystemClock();
  const fleet = new ClaimsFleet(clock, 0, 1_000_000, {
    keys: String(kept),
    read_limit: '500',
  });
  const logBytes = await fillLog(fleet, kept);
  const heapBytes = measureTable(kept);
  const startedAt = clock.monotonicMilliseconds();
  const daemon = await fleet.startOne(0);
  while (fleet.claimsKept < kept)
    await sleep(clock, RECOVERY_STEP_MILLISECONDS);
  const took = clock.monotonicMilliseconds() - startedAt;
  await runOne(daemon, 'the first key after the start');
  await fleet.stop();
  return {
    label: `${kept} claims kept`,
    values: {
      'heap bytes/claim': heapBytes / kept,
      'log bytes/claim': logBytes / kept,
      'recovery ms': took,
      'claims read/ms': kept / took,
    },
  };
}

async function fillLog(fleet: ClaimsFleet, kept: number): Promise<number> {
  let bytes = 0;
  for (let first = 0; first < kept; first += BATCH) {
    const payload = encodeClaimBatch(
      batchAt(first, Math.min(BATCH, kept - first)),
    );
    bytes += payload.length;
    await fleet.log.append(StreamName.Claims, [payload]);
  }
  return bytes;
}

/** Returns a batch record of `count` claims numbered from `first`. */
export function batchAt(first: number, count: number) {
  const claims = Array.from({length: count}, (_, index) => {
    const request = {
      service: 'crest-works',
      caller: 'crest-shop',
      key: `order-${first + index}`,
      fingerprint: `POST /crest-works ${first + index}`,
    };
    return {
      key: claimKeyDigest(request),
      attempt: first + index + 1,
      fingerprint: claimFingerprintDigest(request),
    };
  });
  const sequence = first + 1;
  return {
    holder: 'entry-9.1',
    sequence,
    claims,
    releases: [],
    outcomes: [],
    heir: '',
  };
}

/** Returns the heap bytes of a full claim table; exact only with `--expose-gc`. */
export function measureTable(kept: number): number {
  globalThis.gc?.();
  const before = process.memoryUsage().heapUsed;
  const table = new ClaimTable(kept);
  for (let first = 0; first < kept; first += BATCH)
    table.apply(batchAt(first, Math.min(BATCH, kept - first)));
  globalThis.gc?.();
  const bytes = process.memoryUsage().heapUsed - before;
  if (table.size !== kept)
    throw new Error('the claim table does not hold all applied claims');
  return bytes;
}

/** Scenarios of once-only execution. */
export const ONCE_ONLY_SCENARIOS: readonly Scenario[] = [LATENCY, RECOVERY];

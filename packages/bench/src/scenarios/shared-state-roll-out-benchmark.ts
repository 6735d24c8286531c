import {randomUUID} from 'node:crypto';
import {build, type Histogram} from 'hdr-histogram-js';
import {
  RecordKind,
  sha256Hex,
  encodeRecord,
  makeDelta,
  signBundle,
  splitSections,
  type FleetRecord,
} from '@gentiandoor/shared-state';
import type {ScenarioRow} from '../scenario.js';
import type {
  MeasuredDaemon,
  StateDeployment,
} from './shared-state-deployment.js';

const TENTHS = 10;

/** The records of one bundle change, created before the timing starts. */
interface Change {
  readonly version: number;
  readonly proposed: FleetRecord;
  readonly signed: FleetRecord;
}

/** Rolls out bundles and measures the time from sign-off until each is in force at all daemons. */
export class RollOutBenchmark {
  /** Time from sign-off until in force at the last daemon, in tenths of a millisecond. */
  private readonly rollOutTimes: Histogram = build();
  /**
   * Time from proposal until folded at the daemon that published it, in tenths of a millisecond.
   */
  private readonly proposalTimes: Histogram = build();
  private readonly changes: Change[] = [];
  private bytes = 0;
  private missed = 0;
  private done = 0;

  /** `textOf` returns the text of a version, whose `base` is the previous version. */
  constructor(
    private readonly deployment: StateDeployment,
    private readonly textOf: (version: number) => string,
    private readonly byDelta: boolean,
  ) {}

  /** Creates the records of the next changes in advance, so that this work is not measured. */
  prepare(count: number): void {
    for (let made = 0; made < count; made++) {
      const version = this.changes.length + 1;
      this.changes.push(this.makeChange(version));
    }
  }

  /**
   * Rolls out the next version through one daemon; counts it as missed after `limitMilliseconds`.
   */
  async rollOut(at: MeasuredDaemon, limitMilliseconds = 10_000): Promise<void> {
    if (this.done === this.changes.length) this.prepare(1);
    const {version, proposed, signed} = this.changes[this.done++];
    const {clock, entries} = this.deployment;
    const proposedAt = clock.monotonicMilliseconds();
    await this.publish(at, proposed);
    const signedAt = clock.monotonicMilliseconds();
    this.proposalTimes.recordValue(
      Math.round((signedAt - proposedAt) * TENTHS),
    );
    const times = this.watch(version, entries);
    await this.publish(at, signed);
    const arrived = () => times.size === entries.length;
    await this.deployment
      .waitUntil(arrived, limitMilliseconds)
      .catch(() => undefined);
    for (const entry of entries) entry.onChange = () => undefined;
    if (arrived())
      this.rollOutTimes.recordValue(
        Math.round((Math.max(...times.values()) - signedAt) * TENTHS),
      );
    else this.missed++;
  }

  /** Discards the measurements so far. */
  reset(): void {
    this.rollOutTimes.reset();
    this.proposalTimes.reset();
    this.bytes = 0;
  }

  row(label: string): ScenarioRow {
    const count = this.rollOutTimes.totalCount + this.missed;
    return {
      label,
      values: {
        bundles: count,
        missed: this.missed,
        p50_ms: percentile(this.rollOutTimes, 50),
        p99_ms: percentile(this.rollOutTimes, 99),
        max_ms: this.rollOutTimes.maxValue / TENTHS,
        proposal_p50_ms: percentile(this.proposalTimes, 50),
        bytes_a_bundle: Math.round(this.bytes / count),
      },
    };
  }

  get p99(): number {
    return percentile(this.rollOutTimes, 99);
  }

  get missedCount(): number {
    return this.missed;
  }

  private watch(
    version: number,
    entries: readonly MeasuredDaemon[],
  ): Map<MeasuredDaemon, number> {
    const times = new Map<MeasuredDaemon, number>();
    const {clock} = this.deployment;
    for (const entry of entries) {
      entry.onChange = () => {
        if (entry.version >= version && !times.has(entry))
          times.set(entry, clock.monotonicMilliseconds());
      };
    }
    return times;
  }

  private makeChange(version: number): Change {
    const text = this.textOf(version);
    const digest = sha256Hex(text);
    const {privateKey} = this.deployment.operator;
    return {
      version,
      proposed: this.proposal(version, text, digest),
      signed: {
        ...recordHead(),
        kind: RecordKind.BundleSigned,
        version,
        digest,
        operator: 'kerry',
        signature: signBundle(privateKey, version, digest),
      },
    };
  }

  private proposal(version: number, text: string, digest: string): FleetRecord {
    if (!this.byDelta || version === 1)
      return {...recordHead(), kind: RecordKind.BundleProposed, text};
    const base = this.textOf(version - 1);
    return {
      ...recordHead(),
      kind: RecordKind.BundleChanged,
      baseDigest: sha256Hex(base),
      digest,
      steps: makeDelta(splitSections(base), text),
    };
  }

  private async publish(
    at: MeasuredDaemon,
    record: FleetRecord,
  ): Promise<void> {
    this.bytes += encodeRecord(record).length;
    const {rejection} = await at.follower.publish(record);
    if (rejection) throw new Error(`${rejection.reason}: ${rejection.detail}`);
  }
}

function recordHead() {
  return {id: randomUUID(), writer: 'moana'};
}

function percentile(histogram: Histogram, at: number): number {
  return histogram.getValueAtPercentile(at) / TENTHS;
}

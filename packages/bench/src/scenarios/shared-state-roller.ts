import {randomUUID} from 'node:crypto';
import {build, type Histogram} from 'hdr-histogram-js';
import {
  RecordKind,
  digestOf,
  makeDelta,
  parseSections,
  signBundle,
  type FleetRecord,
} from '@gentiandoor/shared-state';
import type {ScenarioRow} from '../scenario.js';
import type {
  MeasuredEntry,
  StateDeployment,
} from './shared-state-deployment.js';

const TENTHS = 10;

/** Changes of a deployment's configuration, each timed from sign-off to in force everywhere. */
export class BundleRoller {
  /** Tenths of a millisecond from sign-off to in force at the last daemon. */
  readonly everywhere: Histogram = build();
  /** Bytes of the records of all roll-outs. */
  bytes = 0;
  missed = 0;
  private version = 0;
  private text = '';

  /** `textOf` makes the text of a version; its `base` is the version before. */
  constructor(
    private readonly deployment: StateDeployment,
    private readonly textOf: (version: number) => string,
    private readonly byDelta: boolean,
  ) {}

  /** Rolls out the next version through one daemon; counts it as missed when it takes over `limitMilliseconds`. */
  async rollOut(at: MeasuredEntry, limitMilliseconds = 10_000): Promise<void> {
    const {clock, entries} = this.deployment;
    const version = this.version + 1;
    const text = this.textOf(version);
    await this.publish(at, this.proposal(text));
    const times = this.watch(version, entries);
    const signed = clock.monotonicMilliseconds();
    const digest = digestOf(text);
    const published = this.publish(at, {
      ...this.head(),
      kind: RecordKind.BundleSigned,
      version,
      digest,
      operator: 'kerry',
      signature: signBundle(
        this.deployment.operator.privateKey,
        version,
        digest,
      ),
    });
    await published;
    const arrived = () => times.size === entries.length;
    await this.deployment
      .until(arrived, limitMilliseconds)
      .catch(() => undefined);
    this.version = version;
    this.text = text;
    if (arrived())
      this.everywhere.recordValue(
        Math.round((Math.max(...times.values()) - signed) * TENTHS),
      );
    else this.missed++;
  }

  row(label: string): ScenarioRow {
    const at = (percentile: number) =>
      this.everywhere.getValueAtPercentile(percentile) / TENTHS;
    return {
      label,
      values: {
        bundles: this.everywhere.totalCount + this.missed,
        not_in_10_s: this.missed,
        p50_ms: at(50),
        p99_ms: at(99),
        max_ms: this.everywhere.maxValue / TENTHS,
        bytes_a_bundle: Math.round(
          this.bytes / (this.everywhere.totalCount + this.missed),
        ),
      },
    };
  }

  get p99(): number {
    return this.everywhere.getValueAtPercentile(99) / TENTHS;
  }

  private watch(
    version: number,
    entries: readonly MeasuredEntry[],
  ): Map<MeasuredEntry, number> {
    const times = new Map<MeasuredEntry, number>();
    const {clock} = this.deployment;
    for (const entry of entries) {
      entry.follower.onChange(() => {
        if (entry.version >= version && !times.has(entry))
          times.set(entry, clock.monotonicMilliseconds());
      });
    }
    return times;
  }

  private proposal(text: string): FleetRecord {
    if (!this.byDelta || this.version === 0)
      return {...this.head(), kind: RecordKind.BundleProposed, text};
    return {
      ...this.head(),
      kind: RecordKind.BundleChanged,
      baseDigest: digestOf(this.text),
      digest: digestOf(text),
      steps: makeDelta(parseSections(this.text).sections, text),
    };
  }

  private head() {
    return {id: randomUUID(), writer: 'moana'};
  }

  private async publish(at: MeasuredEntry, record: FleetRecord): Promise<void> {
    this.bytes += JSON.stringify(record).length;
    const {rejection} = await at.follower.publish(record);
    if (rejection) throw new Error(`${rejection.reason}: ${rejection.detail}`);
  }
}

import {
  MetricName,
  backoff,
  sleep,
  type Clock,
  type Metrics,
  type RandomSource,
} from '@gentiandoor/kernel';
import {
  StreamName,
  encodeClaimBatch,
  type ClaimBatch,
  type ClaimItem,
  type ClaimReference,
  type OutcomeItem,
  type PlatformLog,
} from '@gentiandoor/shared-state';
import type {OnceOnlyOptions} from './once-only-options.js';

const BACKOFF_BASE_MILLISECONDS = 100;
const BACKOFF_MAXIMUM_MILLISECONDS = 5000;

/** What the writer needs. */
export interface ClaimWriterDependencies {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly metrics: Metrics;
  readonly platformLog: PlatformLog;
  readonly onceOnlyOptions: OnceOnlyOptions;
}

/**
 * Group commit of claims, releases and outcomes. One append is under way at a time and the
 * next takes everything that has gathered, so a burst makes larger appends, not more; two
 * appends stand `append_interval_milliseconds` apart, so that seven daemons at 25 ms stay
 * under 280 appends a second of the several hundred that the log takes. Without it, each
 * keyed request is an append and the log's limit is the limit of keyed requests.
 *
 * An append that failed may still land. Whatever it held is sent again under the next
 * sequence; once that one is read back, the fold has dropped the first for good.
 */
export class ClaimWriter {
  private readonly claims = new Map<number, ClaimItem>();
  private readonly releases = new Map<number, ClaimReference>();
  private readonly outcomes = new Map<number, OutcomeItem>();
  /** Sequence under which a claim was sent last. */
  private readonly sentUnder = new Map<number, number>();
  private heir = '';
  private sequence = 0;
  private failures = 0;
  private failingSince: number | undefined;
  private nextAttemptAt = 0;
  private mustFence = false;
  private wake: () => void = () => {};

  constructor(
    private readonly dependencies: ClaimWriterDependencies,
    private readonly holder: string,
  ) {}

  /** Milliseconds for which appends have failed; 0 when the last one succeeded. */
  get failingMilliseconds(): number {
    if (this.failingSince === undefined) return 0;
    return this.now() - this.failingSince;
  }

  /** Milliseconds until the next append may start. */
  get nextAttemptMilliseconds(): number {
    return Math.max(0, this.nextAttemptAt - this.now());
  }

  /** True when everything handed in stands in the log. */
  get isEmpty(): boolean {
    const left = this.claims.size + this.releases.size + this.outcomes.size;
    return left === 0 && this.heir === '' && !this.mustFence;
  }

  claim(item: ClaimItem): void {
    this.claims.set(item.attempt, item);
    this.wake();
  }

  /** Takes a claim back that nobody waits for; false when it may be in the log already. */
  withdraw(attempt: number): boolean {
    this.claims.delete(attempt);
    return !this.sentUnder.has(attempt);
  }

  release(item: ClaimReference): void {
    this.releases.set(item.attempt, item);
    this.wake();
  }

  /** Travels with the next append; alone only after `outcome_lag_milliseconds`. */
  outcome(item: OutcomeItem): void {
    this.outcomes.set(item.attempt, item);
    this.wake();
  }

  handOver(heir: string): void {
    this.heir = heir;
    this.wake();
  }

  /** Sends what is left without waiting for company. */
  flush(): void {
    if (this.outcomes.size > 0) this.mustFence = true;
    this.wake();
  }

  /** Hears of an own batch that the fold took; returns claims that can no longer land. */
  noteReadBack(batch: ClaimBatch): number[] {
    this.drop(batch);
    const dead: number[] = [];
    for (const [attempt, sequence] of this.sentUnder) {
      if (sequence > batch.sequence) continue;
      this.sentUnder.delete(attempt);
      if (sequence < batch.sequence) dead.push(attempt);
    }
    return dead;
  }

  /** Writes until `signal` aborts. */
  async write(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.gather(signal);
      await sleep(
        this.dependencies.clock,
        this.nextAttemptMilliseconds,
        signal,
      );
      if (!signal.aborted) await this.appendOnce(signal);
    }
  }

  private async gather(signal: AbortSignal): Promise<void> {
    if (this.isUrgent()) return;
    const {clock, onceOnlyOptions} = this.dependencies;
    await new Promise<void>(resolve => {
      const lag = onceOnlyOptions.outcome_lag_milliseconds;
      let timer = this.outcomes.size > 0 ? clock.schedule(lag, end) : undefined;
      function end() {
        timer?.cancel();
        signal.removeEventListener('abort', end);
        resolve();
      }
      this.wake = () => {
        if (this.isUrgent()) end();
        else timer ??= clock.schedule(lag, end);
      };
      signal.addEventListener('abort', end, {once: true});
    });
    this.wake = () => {};
  }

  private isUrgent(): boolean {
    const waited = this.claims.size + this.releases.size;
    return waited > 0 || this.heir !== '' || this.mustFence;
  }

  private async appendOnce(signal: AbortSignal): Promise<void> {
    const {metrics, platformLog, onceOnlyOptions} = this.dependencies;
    const startedAt = this.now();
    const batch = this.nextBatch();
    metrics.increment(MetricName.LogAppends, {stream: StreamName.Claims});
    const limit = this.deadline(signal);
    try {
      await limit.race(
        platformLog.append(
          StreamName.Claims,
          [encodeClaimBatch(batch)],
          limit.signal,
        ),
      );
      this.noteSuccess(batch);
      const interval = onceOnlyOptions.append_interval_milliseconds;
      this.nextAttemptAt = startedAt + interval;
    } catch {
      metrics.increment(MetricName.LogAppendFailures, {
        stream: StreamName.Claims,
      });
      this.noteFailure();
    } finally {
      limit.end();
    }
  }

  private nextBatch(): ClaimBatch {
    const sequence = ++this.sequence;
    const limit = this.dependencies.onceOnlyOptions.batch_limit;
    const claims = take(this.claims, limit);
    const releases = take(this.releases, limit - claims.length);
    const room = limit - claims.length - releases.length;
    for (const {attempt} of claims) this.sentUnder.set(attempt, sequence);
    return {
      holder: this.holder,
      sequence,
      claims,
      releases,
      outcomes: take(this.outcomes, room),
      heir: this.heir,
    };
  }

  private drop(batch: ClaimBatch): void {
    for (const {attempt} of batch.claims) this.claims.delete(attempt);
    for (const {attempt} of batch.releases) this.releases.delete(attempt);
    for (const {attempt} of batch.outcomes) this.outcomes.delete(attempt);
    if (batch.heir === this.heir) this.heir = '';
  }

  private noteSuccess(batch: ClaimBatch): void {
    this.drop(batch);
    this.failures = 0;
    this.failingSince = undefined;
    this.mustFence = false;
  }

  // What the lost append held may land for hours. An append that follows it, even an empty
  // one, settles that, and tells at the same time whether the log takes appends again.
  private noteFailure(): void {
    this.mustFence = true;
    this.failingSince ??= this.now();
    const delay = backoff(
      this.dependencies.random,
      this.failures++,
      BACKOFF_BASE_MILLISECONDS,
      BACKOFF_MAXIMUM_MILLISECONDS,
    );
    this.nextAttemptAt = this.now() + delay;
  }

  /** Ends an append that the log does not answer, whether or not it heeds its signal. */
  private deadline(outer: AbortSignal) {
    const {clock, onceOnlyOptions} = this.dependencies;
    const controller = new AbortController();
    const abort = () => controller.abort();
    const timer = clock.schedule(
      onceOnlyOptions.append_timeout_milliseconds,
      abort,
    );
    outer.addEventListener('abort', abort, {once: true});
    const aborted = new Promise<never>((_, reject) => {
      controller.signal.addEventListener('abort', () =>
        reject(new Error('no answer to the append')),
      );
    });
    aborted.catch(() => undefined);
    return {
      signal: controller.signal,
      race: <Value>(work: Promise<Value>) => Promise.race([work, aborted]),
      end: () => {
        timer.cancel();
        outer.removeEventListener('abort', abort);
      },
    };
  }

  private now(): number {
    return this.dependencies.clock.monotonicMilliseconds();
  }
}

function take<Item>(items: ReadonlyMap<number, Item>, limit: number): Item[] {
  const taken: Item[] = [];
  for (const item of items.values()) {
    if (taken.length >= limit) break;
    taken.push(item);
  }
  return taken;
}

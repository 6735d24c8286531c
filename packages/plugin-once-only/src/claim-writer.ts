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
  type ClaimRequest,
  type ClaimReference,
  type ClaimOutcomeReport,
  type PlatformLog,
} from '@gentiandoor/shared-state';
import type {OnceOnlyOptions} from './once-only-options.js';

const BACKOFF_BASE_MILLISECONDS = 100;
const BACKOFF_MAXIMUM_MILLISECONDS = 5000;

/** Dependencies of `ClaimWriter`. */
export interface ClaimWriterDependencies {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly metrics: Metrics;
  readonly platformLog: PlatformLog;
  readonly onceOnlyOptions: OnceOnlyOptions;
}

/**
 * Group commit of claims, releases and outcomes. One append is in flight at a time and the
 * next one takes everything queued meanwhile, so a burst leads to larger appends, not more.
 * Appends start at least `append_interval_milliseconds` apart: seven daemons at 25 ms stay
 * under 280 appends a second, of the several hundred that the log accepts. Without it, each
 * keyed request is an append and the log's limit is the limit of keyed requests.
 *
 * An append that failed may still be applied later. Its items are sent again under the next
 * sequence; once that batch is read back, the fold ignores the earlier one permanently.
 */
export class ClaimWriter {
  private readonly claims = new Map<number, ClaimRequest>();
  private readonly releases = new Map<number, ClaimReference>();
  private readonly outcomes = new Map<number, ClaimOutcomeReport>();
  /** Sequence of the last batch that contained the claim, by attempt. */
  private readonly lastSequenceByAttempt = new Map<number, number>();
  private successor = '';
  private sequence = 0;
  private consecutiveFailures = 0;
  private failingSince: number | undefined;
  private nextAttemptAt = 0;
  private mustAppend = false;
  private onQueued: () => void = () => {};

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

  /** True when everything queued is in the log. */
  get isEmpty(): boolean {
    const queuedCount =
      this.claims.size + this.releases.size + this.outcomes.size;
    return queuedCount === 0 && this.successor === '' && !this.mustAppend;
  }

  queueClaim(item: ClaimRequest): void {
    this.claims.set(item.attempt, item);
    this.onQueued();
  }

  /** Withdraws a claim that no request waits for; false when it may already be in the log. */
  withdraw(attempt: number): boolean {
    this.claims.delete(attempt);
    return !this.lastSequenceByAttempt.has(attempt);
  }

  queueRelease(item: ClaimReference): void {
    this.releases.set(item.attempt, item);
    this.onQueued();
  }

  /**
   * Queues an outcome for the next append; alone it is appended only after
   * `outcome_lag_milliseconds`.
   */
  queueOutcome(item: ClaimOutcomeReport): void {
    this.outcomes.set(item.attempt, item);
    this.onQueued();
  }

  setSuccessor(successor: string): void {
    this.successor = successor;
    this.onQueued();
  }

  /** Appends queued outcomes without waiting for a claim or a release to send them with. */
  flush(): void {
    if (this.outcomes.size > 0) this.mustAppend = true;
    this.onQueued();
  }

  /**
   * Handles an own batch that was folded; returns the attempts whose claims can no longer be
   * applied.
   */
  confirmReadBack(batch: ClaimBatch): number[] {
    this.removeWritten(batch);
    const supersededAttempts: number[] = [];
    for (const [attempt, sequence] of this.lastSequenceByAttempt) {
      if (sequence > batch.sequence) continue;
      this.lastSequenceByAttempt.delete(attempt);
      if (sequence < batch.sequence) supersededAttempts.push(attempt);
    }
    return supersededAttempts;
  }

  /** Writes until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.waitForItems(signal);
      await sleep(
        this.dependencies.clock,
        this.nextAttemptMilliseconds,
        signal,
      );
      if (!signal.aborted) await this.appendOnce(signal);
    }
  }

  private async waitForItems(signal: AbortSignal): Promise<void> {
    if (this.hasUrgentItems()) return;
    const {clock, onceOnlyOptions} = this.dependencies;
    await new Promise<void>(resolve => {
      const lag = onceOnlyOptions.outcome_lag_milliseconds;
      let timer = this.outcomes.size > 0 ? clock.schedule(lag, end) : undefined;
      function end() {
        timer?.cancel();
        signal.removeEventListener('abort', end);
        resolve();
      }
      this.onQueued = () => {
        if (this.hasUrgentItems()) end();
        else timer ??= clock.schedule(lag, end);
      };
      signal.addEventListener('abort', end, {once: true});
    });
    this.onQueued = () => {};
  }

  private hasUrgentItems(): boolean {
    const urgentCount = this.claims.size + this.releases.size;
    return urgentCount > 0 || this.successor !== '' || this.mustAppend;
  }

  private async appendOnce(signal: AbortSignal): Promise<void> {
    const {metrics, platformLog, onceOnlyOptions} = this.dependencies;
    const startedAt = this.now();
    const batch = this.nextBatch();
    metrics.increment(MetricName.LogAppends, {stream: StreamName.Claims});
    const timeout = this.startAppendTimeout(signal);
    try {
      await timeout.race(
        platformLog.append(
          StreamName.Claims,
          [encodeClaimBatch(batch)],
          timeout.signal,
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
      timeout.end();
    }
  }

  private nextBatch(): ClaimBatch {
    const sequence = ++this.sequence;
    const limit = this.dependencies.onceOnlyOptions.batch_limit;
    const claims = firstItems(this.claims, limit);
    const releases = firstItems(this.releases, limit - claims.length);
    const remaining = limit - claims.length - releases.length;
    for (const {attempt} of claims)
      this.lastSequenceByAttempt.set(attempt, sequence);
    return {
      holder: this.holder,
      sequence,
      claims,
      releases,
      outcomes: firstItems(this.outcomes, remaining),
      heir: this.successor,
    };
  }

  private removeWritten(batch: ClaimBatch): void {
    for (const {attempt} of batch.claims) this.claims.delete(attempt);
    for (const {attempt} of batch.releases) this.releases.delete(attempt);
    for (const {attempt} of batch.outcomes) this.outcomes.delete(attempt);
    if (batch.heir === this.successor) this.successor = '';
  }

  private noteSuccess(batch: ClaimBatch): void {
    this.removeWritten(batch);
    this.consecutiveFailures = 0;
    this.failingSince = undefined;
    this.mustAppend = false;
  }

  /**
   * Backs off after a failed append. Its items may still be applied hours later. A later append,
   * even an empty one, rules that out, and also shows whether the log accepts appends again.
   */
  private noteFailure(): void {
    this.mustAppend = true;
    this.failingSince ??= this.now();
    const delay = backoff(
      this.dependencies.random,
      this.consecutiveFailures++,
      BACKOFF_BASE_MILLISECONDS,
      BACKOFF_MAXIMUM_MILLISECONDS,
    );
    this.nextAttemptAt = this.now() + delay;
  }

  /**
   * Times out an append that gets no response, even if the log client ignores its abort
   * signal.
   */
  private startAppendTimeout(parentSignal: AbortSignal) {
    const {clock, onceOnlyOptions} = this.dependencies;
    const controller = new AbortController();
    const abort = () => controller.abort();
    const timer = clock.schedule(
      onceOnlyOptions.append_timeout_milliseconds,
      abort,
    );
    parentSignal.addEventListener('abort', abort, {once: true});
    const aborted = new Promise<never>((_, reject) => {
      controller.signal.addEventListener('abort', () =>
        reject(new Error('the log did not respond to the append in time')),
      );
    });
    aborted.catch(() => undefined);
    return {
      signal: controller.signal,
      race: <Value>(work: Promise<Value>) => Promise.race([work, aborted]),
      end: () => {
        timer.cancel();
        parentSignal.removeEventListener('abort', abort);
      },
    };
  }

  private now(): number {
    return this.dependencies.clock.monotonicMilliseconds();
  }
}

function firstItems<Item>(
  items: ReadonlyMap<number, Item>,
  limit: number,
): Item[] {
  const result: Item[] = [];
  for (const item of items.values()) {
    if (result.length >= limit) break;
    result.push(item);
  }
  return result;
}

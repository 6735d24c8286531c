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
  private readonly claims = new Map<number, ClaimRequest>();
  private readonly releases = new Map<number, ClaimReference>();
  private readonly outcomes = new Map<number, ClaimOutcomeReport>();
  /** Sequence under which a claim was sent last. */
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

  /** True when everything handed in stands in the log. */
  get isEmpty(): boolean {
    const left = this.claims.size + this.releases.size + this.outcomes.size;
    return left === 0 && this.successor === '' && !this.mustAppend;
  }

  queueClaim(item: ClaimRequest): void {
    this.claims.set(item.attempt, item);
    this.onQueued();
  }

  /** Takes a claim back that nobody waits for; false when it may be in the log already. */
  withdraw(attempt: number): boolean {
    this.claims.delete(attempt);
    return !this.lastSequenceByAttempt.has(attempt);
  }

  queueRelease(item: ClaimReference): void {
    this.releases.set(item.attempt, item);
    this.onQueued();
  }

  /** Travels with the next append; alone only after `outcome_lag_milliseconds`. */
  queueOutcome(item: ClaimOutcomeReport): void {
    this.outcomes.set(item.attempt, item);
    this.onQueued();
  }

  setSuccessor(heir: string): void {
    this.successor = heir;
    this.onQueued();
  }

  /** Sends what is left without waiting for company. */
  flush(): void {
    if (this.outcomes.size > 0) this.mustAppend = true;
    this.onQueued();
  }

  /** Hears of an own batch that the fold took; returns claims that can no longer land. */
  confirmReadBack(batch: ClaimBatch): number[] {
    this.removeWritten(batch);
    const dead: number[] = [];
    for (const [attempt, sequence] of this.lastSequenceByAttempt) {
      if (sequence > batch.sequence) continue;
      this.lastSequenceByAttempt.delete(attempt);
      if (sequence < batch.sequence) dead.push(attempt);
    }
    return dead;
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
    const waited = this.claims.size + this.releases.size;
    return waited > 0 || this.successor !== '' || this.mustAppend;
  }

  private async appendOnce(signal: AbortSignal): Promise<void> {
    const {metrics, platformLog, onceOnlyOptions} = this.dependencies;
    const startedAt = this.now();
    const batch = this.nextBatch();
    metrics.increment(MetricName.LogAppends, {stream: StreamName.Claims});
    const limit = this.startAppendTimeout(signal);
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
    const claims = firstItems(this.claims, limit);
    const releases = firstItems(this.releases, limit - claims.length);
    const room = limit - claims.length - releases.length;
    for (const {attempt} of claims)
      this.lastSequenceByAttempt.set(attempt, sequence);
    return {
      holder: this.holder,
      sequence,
      claims,
      releases,
      outcomes: firstItems(this.outcomes, room),
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

  // What the lost append held may land for hours. An append that follows it, even an empty
  // one, settles that, and tells at the same time whether the log takes appends again.
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

  /** Ends an append that the log does not answer, whether or not it heeds its signal. */
  private startAppendTimeout(outer: AbortSignal) {
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

function firstItems<Item>(
  items: ReadonlyMap<number, Item>,
  limit: number,
): Item[] {
  const taken: Item[] = [];
  for (const item of items.values()) {
    if (taken.length >= limit) break;
    taken.push(item);
  }
  return taken;
}

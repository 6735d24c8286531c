import {
  ErrorKind,
  MetricName,
  RequestError,
  RequestExecution,
  resolveDependencies,
  type Clock,
  type DaemonIdentity,
  type Logger,
  type Metrics,
  type Plugin,
  type RandomSource,
} from '@gentiandoor/kernel';
import {
  ClaimTable,
  PeerTopic,
  claimFingerprintDigest,
  claimKeyDigest,
  type AppliedClaimBatch,
  type ClaimBatch,
  type ClaimEntry,
  type KeyedRequestDecision,
  type KeyIssuer,
  type KeyedRequest,
  type IdempotencyGuard,
  type PeerLinks,
  type PlatformLog,
  type SharedState,
} from '@gentiandoor/shared-state';
import {ClaimStatusLookup} from './claim-status-lookup.js';
import {
  ClaimMessageKind,
  ClaimStatus,
  parseClaimMessage,
  type ClaimStatusRequest,
  type HandOverMessage,
} from './claim-messages.js';
import {ClaimWriter} from './claim-writer.js';
import {ClaimsFollower} from './claims-follower.js';
import {AnswerHandOver} from './answer-hand-over.js';
import {HeldAnswers} from './held-answers.js';
import {IssuedKeys} from './issued-keys.js';
import {KeyWaiters} from './key-waiters.js';
import type {OnceOnlyOptions} from './once-only-options.js';
import {ClaimResult, OwnClaims} from './own-claims.js';

const MILLISECONDS_PER_SECOND = 1000;
/** Retries of refused callers are spread over this many seconds. */
const RETRY_JITTER_SECONDS = 3;
/** Seconds after which to retry a key whose holder is unreachable. */
const UNREACHABLE_RETRY_SECONDS = 2;

/** Dependencies of `LogBackedIdempotencyGuard`. */
export interface LogBackedIdempotencyGuardDependencies {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly identity: DaemonIdentity;
  readonly platformLog: PlatformLog;
  readonly peerLinks: PeerLinks;
  readonly sharedState: Pick<SharedState, 'state'>;
  readonly onceOnlyOptions: OnceOnlyOptions;
}

/** A keyed request that has no decision yet. */
interface PendingKeyedRequest {
  readonly request: KeyedRequest;
  readonly key: string;
  readonly fingerprint: string;
  readonly arrivedAt: number;
  readonly deadline: number;
  readonly signal?: AbortSignal;
}

/**
 * Detects repeated keyed requests across all daemons by claims in the log: the first claim of
 * a key in log order runs, and only after its daemon has read it back.
 * docs/design/once-only.md compares the alternatives; packages/specification checks the
 * protocol.
 */
export class LogBackedIdempotencyGuard
  implements IdempotencyGuard, KeyIssuer, Plugin
{
  private readonly table: ClaimTable;
  private readonly heldAnswers: HeldAnswers;
  private readonly keyWaiters: KeyWaiters;
  private readonly writer: ClaimWriter;
  private readonly ownClaims: OwnClaims;
  private readonly follower: ClaimsFollower;
  private readonly statusLookup: ClaimStatusLookup;
  private readonly issuedKeys: IssuedKeys;
  private readonly stopping = new AbortController();
  private tasks: Promise<unknown> = Promise.resolve();
  private isDraining = false;

  private readonly dependencies: LogBackedIdempotencyGuardDependencies;

  constructor(containerProxy: LogBackedIdempotencyGuardDependencies) {
    const dependencies = resolveDependencies(
      containerProxy,
      'clock',
      'random',
      'logger',
      'metrics',
      'identity',
      'platformLog',
      'peerLinks',
      'sharedState',
      'onceOnlyOptions',
    );
    this.dependencies = dependencies;
    const {clock, identity, peerLinks, onceOnlyOptions} = dependencies;
    const holder = identity.incarnation;
    this.table = new ClaimTable(onceOnlyOptions.keys);
    this.heldAnswers = new HeldAnswers({
      maximumEntries: onceOnlyOptions.held_answers,
      maximumBytes: onceOnlyOptions.held_bytes,
      maximumAnswerBytes: onceOnlyOptions.held_answer_bytes,
    });
    this.keyWaiters = new KeyWaiters(clock);
    this.writer = new ClaimWriter(dependencies, holder);
    const {table, heldAnswers, keyWaiters, writer} = this;
    this.ownClaims = new OwnClaims({
      holder,
      table,
      writer,
      heldAnswers,
      keyWaiters,
    });
    this.follower = new ClaimsFollower(dependencies, table, this);
    const {ownClaims} = this;
    this.statusLookup = new ClaimStatusLookup({
      holder,
      clock,
      table,
      ownClaims,
      heldAnswers,
      keyWaiters,
      peerLinks,
    });
    this.issuedKeys = new IssuedKeys(onceOnlyOptions);
  }

  async start(): Promise<void> {
    const {peerLinks} = this.dependencies;
    peerLinks.setHandler(PeerTopic.KeyedAnswer, async (_from, message) =>
      this.handlePeerMessage(message),
    );
    const {signal} = this.stopping;
    this.tasks = Promise.all([
      this.follower.follow(signal),
      this.writer.run(signal),
    ]);
  }

  /**
   * Whether keyed requests may be sent to this daemon. One that has just started refuses every
   * key until it has read the claims. During an outage of the log it counts as ready, because
   * it can still handle all requests without a key.
   */
  get isReady(): boolean {
    return this.follower.isCaughtUp || this.follower.failingMilliseconds > 0;
  }

  async drain(): Promise<void> {
    this.isDraining = true;
    const {writer, ownClaims, heldAnswers} = this;
    const handOver = new AnswerHandOver({
      ...this.handOverDependencies(),
      writer,
      ownClaims,
      heldAnswers,
    });
    await handOver.run(
      this.dependencies.onceOnlyOptions.hand_over_milliseconds,
    );
  }

  async stop(): Promise<void> {
    this.stopping.abort();
    await this.tasks;
  }

  issueKey(caller: string): string | undefined {
    return this.issuedKeys.issue(caller, this.table.nextOffset);
  }

  async begin(
    request: KeyedRequest,
    signal?: AbortSignal,
  ): Promise<KeyedRequestDecision> {
    const {metrics} = this.dependencies;
    try {
      const decision = await this.decide(
        this.pendingRequestOf(request, signal),
      );
      const name = decision.run ? 'run' : 'replayed';
      metrics.increment(MetricName.KeyedRequests, {decision: name});
      return decision;
    } catch (error) {
      if (error instanceof RequestError)
        metrics.increment(MetricName.KeyedRequests, {decision: error.kind});
      throw error;
    }
  }

  onBatch(batch: ClaimBatch, appliedBatch: AppliedClaimBatch): void {
    const {identity, metrics} = this.dependencies;
    for (const {key} of appliedBatch.released) this.keyWaiters.wake(key);
    metrics.gauge(MetricName.ClaimsKept, this.table.size);
    metrics.gauge(MetricName.HeldAnswerBytes, this.heldAnswers.bytes);
    if (batch.holder === identity.incarnation && !appliedBatch.stale)
      this.ownClaims.onOwnBatch(batch, appliedBatch);
  }

  onGap(): void {
    this.ownClaims.giveUpAll();
  }

  private pendingRequestOf(
    request: KeyedRequest,
    signal?: AbortSignal,
  ): PendingKeyedRequest {
    const {clock, onceOnlyOptions: options} = this.dependencies;
    const arrivedAt = clock.monotonicMilliseconds();
    const maximumWaitMilliseconds =
      options.claim_wait_milliseconds + options.answer_wait_milliseconds;
    return {
      request,
      key: claimKeyDigest(request),
      fingerprint: claimFingerprintDigest(request),
      arrivedAt,
      deadline: arrivedAt + maximumWaitMilliseconds,
      signal,
    };
  }

  private async decide(
    pending: PendingKeyedRequest,
  ): Promise<KeyedRequestDecision> {
    if (this.isDraining) throw drainingError();
    const issueOffset = this.issuedKeys.issueOffsetOf(
      pending.request.caller,
      pending.request.key,
    );
    do {
      const entry = this.table.get(pending.key);
      const decision = entry
        ? await this.answerTakenKey(pending, entry)
        : await this.claimFreeKey(pending, issueOffset);
      if (decision) return decision;
    } while (this.remainingMilliseconds(pending) > 0);
    throw this.unavailableError(pending, 'the key was not released in time');
  }

  /** Claims a free key; undefined when another attempt claimed it first. */
  private async claimFreeKey(
    pending: PendingKeyedRequest,
    issueOffset: number | undefined,
  ): Promise<KeyedRequestDecision | undefined> {
    this.refuseForgotten(issueOffset);
    this.refuseUnavailable(pending);
    const {key, fingerprint, signal} = pending;
    const maximumWaitMilliseconds =
      this.dependencies.onceOnlyOptions.claim_wait_milliseconds;
    const deadline = Math.min(
      pending.deadline,
      this.now() + maximumWaitMilliseconds,
    );
    if (this.ownClaims.isPending(key)) {
      await this.keyWaiters.wait(key, deadline - this.now(), signal);
      return undefined;
    }
    const claim = this.ownClaims.begin(key, fingerprint, this.table.nextOffset);
    while (claim.result === ClaimResult.Pending) {
      await this.keyWaiters.wait(key, deadline - this.now(), signal);
      if (this.now() >= deadline || signal?.aborted)
        this.ownClaims.giveUp(claim);
    }
    if (claim.result === ClaimResult.Won)
      return {run: true, claim: this.ownClaims.createHandle(claim)};
    if (claim.result === ClaimResult.Taken) return undefined;
    if (claim.result === ClaimResult.Forgotten) throw forgottenError();
    throw this.unavailableError(
      pending,
      'the log did not accept the claim in time',
    );
  }

  /** Finds the answer of a claimed key; undefined when the key is being released. */
  private async answerTakenKey(
    pending: PendingKeyedRequest,
    entry: ClaimEntry,
  ): Promise<KeyedRequestDecision | undefined> {
    if (entry.fingerprint !== pending.fingerprint) {
      throw new RequestError(
        ErrorKind.KeyReused,
        'the key belongs to another request',
      );
    }
    const status = await this.statusLookup.findStatus(
      entry,
      this.answerWaitMilliseconds(pending),
      pending.signal,
    );
    if (status.answer) return {run: false, answer: status.answer};
    if (status.standing === ClaimStatus.Released) {
      await this.keyWaiters.wait(
        pending.key,
        this.remainingMilliseconds(pending),
        pending.signal,
      );
      return undefined;
    }
    const kind = ERROR_KIND_BY_STATUS[status.standing];
    throw new RequestError(kind, `the key is ${status.standing}`, {
      retryAfterSeconds: status.isAnswerHolderReached
        ? undefined
        : this.unreachableRetrySeconds(entry),
    });
  }

  // A key issued below the oldest retained claim may have been claimed by a batch that was
  // evicted. The offset in the key shows this independently of clocks.
  private refuseForgotten(issueOffset: number | undefined): void {
    if (
      issueOffset !== undefined &&
      issueOffset < this.table.retainedFromOffset
    )
      throw forgottenError();
  }

  private refuseUnavailable(pending: PendingKeyedRequest): void {
    const {follower, writer} = this;
    const {onceOnlyOptions: options} = this.dependencies;
    if (!follower.isCaughtUp)
      throw this.unavailableError(pending, 'the claims are still being read');
    const failingMilliseconds = Math.max(
      follower.failingMilliseconds,
      writer.failingMilliseconds,
    );
    if (
      failingMilliseconds > 0 &&
      failingMilliseconds >= options.outage_milliseconds
    )
      throw this.unavailableError(
        pending,
        'the log has not responded for a while',
      );
    if (this.keyWaiters.size >= options.waiting_limit)
      throw this.unavailableError(
        pending,
        'too many requests are waiting for their claims',
      );
  }

  // This request will not run. Whether an earlier one with the same key ran is known only if
  // the log has reported, after this one arrived, that there is nothing left to read. A caller
  // that lost its connection to a request that ran must not get "not run" for its retry.
  private unavailableError(
    pending: PendingKeyedRequest,
    detail: string,
  ): RequestError {
    const isProvenNotRun =
      this.follower.isCurrentAsOf(pending.arrivedAt) &&
      this.table.get(pending.key) === undefined;
    const backoffSeconds = Math.ceil(
      this.writer.nextAttemptMilliseconds / MILLISECONDS_PER_SECOND,
    );
    const jitterSeconds =
      this.dependencies.random.nextInteger(RETRY_JITTER_SECONDS);
    return new RequestError(ErrorKind.ClaimUnavailable, detail, {
      run: isProvenNotRun ? RequestExecution.NotRun : RequestExecution.Unknown,
      retryAfterSeconds: Math.max(1, backoffSeconds) + jitterSeconds,
    });
  }

  /**
   * A holder that is still a member may only be unreachable for now, so its answer may become
   * available.
   */
  private unreachableRetrySeconds({holder}: ClaimEntry): number | undefined {
    const {members} = this.dependencies.sharedState.state;
    const answerHolder = this.table.answerHolderOf(holder);
    return members.has(answerHolder) ? UNREACHABLE_RETRY_SECONDS : undefined;
  }

  private async handlePeerMessage(message: unknown): Promise<unknown> {
    const parsed = parseClaimMessage(message);
    if (parsed.kind === ClaimMessageKind.HandOver)
      return this.acceptHandOver(parsed);
    return this.claimStatusResponse(parsed);
  }

  private claimStatusResponse(message: ClaimStatusRequest): Promise<unknown> {
    const {
      answer_wait_milliseconds: maximumWaitMilliseconds,
      waiting_limit: waitingLimit,
    } = this.dependencies.onceOnlyOptions;
    const isFull = this.keyWaiters.size >= waitingLimit;
    const waitMilliseconds = isFull
      ? 0
      : Math.min(maximumWaitMilliseconds, message.waitMilliseconds);
    return this.statusLookup.localStatus(message, waitMilliseconds);
  }

  private acceptHandOver({ends}: HandOverMessage): {taken: number} {
    if (this.isDraining) throw new Error('this daemon is stopping itself');
    for (const outcome of ends) this.heldAnswers.put(outcome);
    return {taken: ends.length};
  }

  private handOverDependencies() {
    const {clock, logger, identity, peerLinks} = this.dependencies;
    return {clock, logger, identity, peerLinks};
  }

  private answerWaitMilliseconds(pending: PendingKeyedRequest): number {
    const {
      answer_wait_milliseconds: maximumWaitMilliseconds,
      waiting_limit: waitingLimit,
    } = this.dependencies.onceOnlyOptions;
    if (this.keyWaiters.size >= waitingLimit) return 0;
    return Math.max(
      0,
      Math.min(maximumWaitMilliseconds, this.remainingMilliseconds(pending)),
    );
  }

  private remainingMilliseconds({
    deadline,
    signal,
  }: PendingKeyedRequest): number {
    return signal?.aborted ? 0 : deadline - this.now();
  }

  private now(): number {
    return this.dependencies.clock.monotonicMilliseconds();
  }
}

const ERROR_KIND_BY_STATUS: Readonly<
  Record<Exclude<ClaimStatus, ClaimStatus.Released>, ErrorKind>
> = {
  [ClaimStatus.Running]: ErrorKind.KeyInProgress,
  [ClaimStatus.Finished]: ErrorKind.KeyAlreadyRun,
  [ClaimStatus.Lost]: ErrorKind.KeyOutcomeUnknown,
  [ClaimStatus.Unknown]: ErrorKind.KeyOutcomeUnknown,
};

/** Reports `run` as unknown: a draining daemon does not look up earlier requests with the key. */
function drainingError(): RequestError {
  return new RequestError(ErrorKind.Draining, 'this daemon is stopping', {
    run: RequestExecution.Unknown,
  });
}

function forgottenError(): RequestError {
  return new RequestError(
    ErrorKind.KeyForgotten,
    'the key is older than the claims that are kept',
  );
}

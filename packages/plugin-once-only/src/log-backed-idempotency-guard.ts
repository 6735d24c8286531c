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
/** Refused callers come back spread over so many seconds. */
const RETRY_JITTER_SECONDS = 3;
/** When to ask again for a key whose holder is cut off, in seconds. */
const UNREACHABLE_RETRY_SECONDS = 2;

/** What the claims need. */
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

/** A keyed request while it is decided. */
interface PendingKeyedRequest {
  readonly request: KeyedRequest;
  readonly key: string;
  readonly fingerprint: string;
  readonly arrivedAt: number;
  readonly deadline: number;
  readonly signal?: AbortSignal;
}

/**
 * Recognises keyed requests at any daemon by claims in the log: the first claim of a key
 * in log order runs, and only after its daemon has read it back. docs/design/once-only.md
 * weighs the ways; packages/specification checks the protocol.
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

  constructor(given: LogBackedIdempotencyGuardDependencies) {
    const dependencies = resolveDependencies(
      given,
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
      heldAnswers: heldAnswers,
      keyWaiters: keyWaiters,
    });
    this.follower = new ClaimsFollower(dependencies, table, this);
    const {ownClaims} = this;
    this.statusLookup = new ClaimStatusLookup({
      holder,
      clock,
      table,
      ownClaims: ownClaims,
      heldAnswers: heldAnswers,
      keyWaiters: keyWaiters,
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
   * Whether keyed requests may be sent here. A daemon that has just started refuses every key
   * until it has read the claims; while the log is out it is ready for all other requests.
   */
  get isReady(): boolean {
    return this.follower.isCaughtUp || this.follower.failingMilliseconds > 0;
  }

  async drain(): Promise<void> {
    this.isDraining = true;
    const {writer, ownClaims: own, heldAnswers: held} = this;
    const handOver = new AnswerHandOver({
      ...this.handOverDependencies(),
      writer,
      ownClaims: own,
      heldAnswers: held,
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

  onBatch(batch: ClaimBatch, verdict: AppliedClaimBatch): void {
    const {identity, metrics} = this.dependencies;
    for (const {key} of verdict.released) this.keyWaiters.wake(key);
    metrics.gauge(MetricName.ClaimsKept, this.table.size);
    metrics.gauge(MetricName.HeldAnswerBytes, this.heldAnswers.bytes);
    if (batch.holder === identity.incarnation && !verdict.stale)
      this.ownClaims.onOwnBatch(batch, verdict);
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
    const longest =
      options.claim_wait_milliseconds + options.answer_wait_milliseconds;
    return {
      request,
      key: claimKeyDigest(request),
      fingerprint: claimFingerprintDigest(request),
      arrivedAt,
      deadline: arrivedAt + longest,
      signal,
    };
  }

  private async decide(
    asked: PendingKeyedRequest,
  ): Promise<KeyedRequestDecision> {
    if (this.isDraining) throw drainingError();
    const bornAt = this.issuedKeys.issueOffsetOf(
      asked.request.caller,
      asked.request.key,
    );
    do {
      const entry = this.table.get(asked.key);
      const decision = entry
        ? await this.answerTakenKey(asked, entry)
        : await this.claimFreeKey(asked, bornAt);
      if (decision) return decision;
    } while (this.remainingMilliseconds(asked) > 0);
    throw this.unavailableError(asked, 'the key did not come free in time');
  }

  /** Claims a free key; undefined when another try came first. */
  private async claimFreeKey(
    asked: PendingKeyedRequest,
    bornAt: number | undefined,
  ): Promise<KeyedRequestDecision | undefined> {
    this.refuseForgotten(bornAt);
    this.refuseUnavailable(asked);
    const {key, fingerprint, signal} = asked;
    const longest = this.dependencies.onceOnlyOptions.claim_wait_milliseconds;
    const deadline = Math.min(asked.deadline, this.now() + longest);
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
      asked,
      'the log did not take the claim in time',
    );
  }

  /** Finds the answer of a taken key; undefined when the key is coming free. */
  private async answerTakenKey(
    asked: PendingKeyedRequest,
    entry: ClaimEntry,
  ): Promise<KeyedRequestDecision | undefined> {
    if (entry.fingerprint !== asked.fingerprint) {
      throw new RequestError(
        ErrorKind.KeyReused,
        'the key belongs to another request',
      );
    }
    const found = await this.statusLookup.findStatus(
      entry,
      this.answerWaitMilliseconds(asked),
      asked.signal,
    );
    if (found.answer) return {run: false, answer: found.answer};
    if (found.standing === ClaimStatus.Released) {
      await this.keyWaiters.wait(
        asked.key,
        this.remainingMilliseconds(asked),
        asked.signal,
      );
      return undefined;
    }
    const kind = ERROR_KIND_BY_STATUS[found.standing];
    throw new RequestError(kind, `the key is ${found.standing}`, {
      retryAfterSeconds: found.isAnswerHolderReached
        ? undefined
        : this.unreachableRetrySeconds(entry),
    });
  }

  // A key born below the horizon may have been claimed by a batch that is forgotten. The
  // offset in the key tells, whatever the clocks say.
  private refuseForgotten(bornAt: number | undefined): void {
    if (bornAt !== undefined && bornAt < this.table.retainedFromOffset)
      throw forgottenError();
  }

  private refuseUnavailable(asked: PendingKeyedRequest): void {
    const {follower, writer} = this;
    const {onceOnlyOptions: options} = this.dependencies;
    if (!follower.isCaughtUp)
      throw this.unavailableError(asked, 'the claims are still being read');
    const failing = Math.max(
      follower.failingMilliseconds,
      writer.failingMilliseconds,
    );
    if (failing > 0 && failing >= options.outage_milliseconds)
      throw this.unavailableError(
        asked,
        'the log has not answered for a while',
      );
    if (this.keyWaiters.size >= options.waiting_limit)
      throw this.unavailableError(
        asked,
        'too many requests wait for their claims',
      );
  }

  // This request will not run. Whether an earlier one of the same key did is known only
  // when the log has said, since this one came, that nothing is left to read: a caller who
  // was cut off from a request that ran must not hear "not run" from its retry.
  private unavailableError(
    asked: PendingKeyedRequest,
    detail: string,
  ): RequestError {
    const isProven =
      this.follower.isCurrentAsOf(asked.arrivedAt) &&
      this.table.get(asked.key) === undefined;
    const soonest = Math.ceil(
      this.writer.nextAttemptMilliseconds / MILLISECONDS_PER_SECOND,
    );
    const spread = this.dependencies.random.nextInteger(RETRY_JITTER_SECONDS);
    return new RequestError(ErrorKind.ClaimUnavailable, detail, {
      run: isProven ? RequestExecution.NotRun : RequestExecution.Unknown,
      retryAfterSeconds: Math.max(1, soonest) + spread,
    });
  }

  /** A holder that is a member still may be cut off only: its answer may come back. */
  private unreachableRetrySeconds({holder}: ClaimEntry): number | undefined {
    const {members} = this.dependencies.sharedState.state;
    const keeper = this.table.answerHolderOf(holder);
    return members.has(keeper) ? UNREACHABLE_RETRY_SECONDS : undefined;
  }

  private async handlePeerMessage(message: unknown): Promise<unknown> {
    const parsed = parseClaimMessage(message);
    if (parsed.kind === ClaimMessageKind.HandOver)
      return this.acceptHandOver(parsed);
    return this.claimStatusResponse(parsed);
  }

  private claimStatusResponse(message: ClaimStatusRequest): Promise<unknown> {
    const {answer_wait_milliseconds: longest, waiting_limit: limit} =
      this.dependencies.onceOnlyOptions;
    const isFull = this.keyWaiters.size >= limit;
    const wait = isFull ? 0 : Math.min(longest, message.waitMilliseconds);
    return this.statusLookup.localStatus(message, wait);
  }

  private acceptHandOver({ends}: HandOverMessage): {taken: number} {
    if (this.isDraining) throw new Error('this daemon is stopping itself');
    for (const named of ends) this.heldAnswers.put(named);
    return {taken: ends.length};
  }

  private handOverDependencies() {
    const {clock, logger, identity, peerLinks} = this.dependencies;
    return {clock, logger, identity, peerLinks};
  }

  private answerWaitMilliseconds(asked: PendingKeyedRequest): number {
    const {answer_wait_milliseconds: longest, waiting_limit: limit} =
      this.dependencies.onceOnlyOptions;
    if (this.keyWaiters.size >= limit) return 0;
    return Math.max(0, Math.min(longest, this.remainingMilliseconds(asked)));
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

/** Says nothing of the key's earlier requests, which this daemon no longer looks for. */
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

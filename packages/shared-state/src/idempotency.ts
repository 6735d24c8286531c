/** A request that carries an idempotency key. */
export interface KeyedRequest {
  readonly service: string;
  /** Caller identity; the same key of two callers is two keys. */
  readonly caller: string;
  readonly key: string;
  /** Digest of method, path and body: the same key with another is refused. */
  readonly fingerprint: string;
}

/** A whole answer, held for replay. */
export interface HeldAnswer {
  readonly status: number;
  /** Names and values in turn. */
  readonly headers: readonly string[];
  readonly body: Uint8Array;
}

/** The right to run a keyed request. Exactly one of its methods is called, once. */
export interface ClaimHandle {
  /** A target ran it; `answer` is undefined where it is too large to hold. */
  finish(answer: HeldAnswer | undefined): void;
  /** No byte of it went to a target: the key may be claimed again. */
  release(): void;
  /** It may have been run. */
  lose(): void;
}

/** What to do with a keyed request. */
export type KeyedRequestDecision =
  | {readonly run: true; readonly claim: ClaimHandle}
  | {readonly run: false; readonly answer: HeldAnswer};

/** Recognises keyed requests, so that each runs at most once. */
export interface IdempotencyGuard {
  /**
   * Claims the key or finds its answer. Throws `RequestError` of one of the key kinds
   * when the request must not run now.
   */
  begin(
    request: KeyedRequest,
    signal?: AbortSignal,
  ): Promise<KeyedRequestDecision>;
}

/** Issues keys that tell their age, so that a forgotten one is refused and never run again. */
export interface KeyIssuer {
  /** A new key for `caller`; undefined where the settings give no secret to mark it with. */
  issueKey(caller: string): string | undefined;
}

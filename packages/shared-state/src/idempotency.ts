/** A request that carries an idempotency key. */
export interface KeyedRequest {
  readonly service: string;
  /** Identity of the caller; the same key from two callers counts as two keys. */
  readonly caller: string;
  readonly key: string;
  /** Digest of method, path and body; the same key with a different fingerprint is refused. */
  readonly fingerprint: string;
}

/** A complete response, held for replay. */
export interface HeldAnswer {
  readonly status: number;
  /** Header names and values, alternating. */
  readonly headers: readonly string[];
  readonly body: Uint8Array;
}

/** The right to run a keyed request. The holder calls exactly one of the methods, once. */
export interface ClaimHandle {
  /** Reports that a target ran the request; `answer` is undefined if it is too large to hold. */
  finish(answer: HeldAnswer | undefined): void;
  /** Reports that no byte of the request was sent to a target: the key may be claimed again. */
  release(): void;
  /** Reports that the outcome is unknown: the request may have been run. */
  lose(): void;
}

/** Whether to run a keyed request or to replay its held response. */
export type KeyedRequestDecision =
  | {readonly run: true; readonly claim: ClaimHandle}
  | {readonly run: false; readonly answer: HeldAnswer};

/** Tracks keyed requests, so that each one runs at most once. */
export interface IdempotencyGuard {
  /**
   * Claims the key or returns its held response. Throws a `RequestError` of one of the key
   * kinds if the request must not run now.
   */
  begin(
    request: KeyedRequest,
    signal?: AbortSignal,
  ): Promise<KeyedRequestDecision>;
}

/** Issues keys that contain their age, so that an evicted key is refused and never run again. */
export interface KeyIssuer {
  /**
   * Returns a new key for `caller`; undefined if the settings contain no secret to authenticate
   * it with.
   */
  issueKey(caller: string): string | undefined;
}

/** Stage of an attempt to run the key. */
export enum AttemptStage {
  NotBegun = 'not_begun',
  /** Its claim has not been read back yet. */
  Pending = 'pending',
  /** Its claim in the log holds the key, so it may run. */
  Won = 'won',
  /** Bytes were sent to a target. */
  Ran = 'ran',
  /** The caller was told that it was not run. */
  ToldNotRun = 'told_not_run',
  /** The caller was told that the key is taken or that the outcome is unknown. */
  ToldUnknown = 'told_unknown',
  /** Its daemon crashed; the caller got no response. */
  DaemonCrashed = 'gone',
}

/** One attempt of the caller to run the key. */
export interface Attempt {
  readonly stage: AttemptStage;
  /** Incarnation that handles the attempt; empty before it begins. */
  readonly incarnation: string;
  readonly ran: boolean;
  /** Whether an earlier attempt had run when this one began. */
  readonly ranBefore: boolean;
}

/** One append to the claims stream. */
export interface ModelClaimBatch {
  readonly holder: string;
  readonly sequence: number;
  /** Attempts that claim the key. */
  readonly claims: readonly number[];
  /** Attempts that release the key. */
  readonly releases: readonly number[];
}

/** In-memory state of an entry daemon. */
export interface ClaimsDaemon {
  readonly incarnation: string;
  /** Offset at which it began to read. */
  readonly startOffset: number;
  /** Offset that it reads next. */
  readonly nextOffset: number;
  readonly sequence: number;
  /** The append whose response it waits for. */
  readonly appendInFlight: ModelClaimBatch | null;
  readonly pendingClaims: readonly number[];
  readonly pendingReleases: readonly number[];
}

/** The complete state: the log, the network, two daemons and one key. */
export interface ClaimsState {
  readonly log: readonly ModelClaimBatch[];
  /** Appends that may still take effect. */
  readonly appendsInFlight: readonly ModelClaimBatch[];
  readonly daemons: readonly ClaimsDaemon[];
  readonly attempts: readonly Attempt[];
  /** Responses that may still be lost. */
  readonly lostResponsesLeft: number;
  /** Appends that may still take effect twice. */
  readonly duplicatesLeft: number;
  /** Crashes that may still happen. */
  readonly crashesLeft: number;
  /** Rejections after a won claim that may still happen. */
  readonly rejectionsLeft: number;
}

/** Result of folding a section of the log. */
export interface ClaimsFold {
  /** The attempt that holds the key; undefined when the key is free. */
  readonly owner: number | undefined;
  /** Attempts whose release took effect in the log. */
  readonly released: readonly number[];
  /** Whether each batch was accepted. */
  readonly accepted: readonly boolean[];
}

/** Folds batches of claims; with `fenced`, a batch that follows its successor is dropped. */
export function foldClaims(
  log: readonly ModelClaimBatch[],
  fenced: boolean,
  isFree: (owner: number) => boolean = () => false,
): ClaimsFold {
  let owner: number | undefined;
  const released: number[] = [];
  const accepted: boolean[] = [];
  const lastSequences = new Map<string, number>();
  for (const batch of log) {
    const isAccepted =
      !fenced || batch.sequence > (lastSequences.get(batch.holder) ?? 0);
    accepted.push(isAccepted);
    if (!isAccepted) continue;
    lastSequences.set(batch.holder, batch.sequence);
    for (const attempt of batch.releases) {
      if (owner !== attempt) continue;
      owner = undefined;
      released.push(attempt);
    }
    for (const attempt of batch.claims) {
      if (owner === undefined || isFree(owner)) owner = attempt;
    }
  }
  return {owner, released, accepted};
}

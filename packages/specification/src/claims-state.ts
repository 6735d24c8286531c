/** Where a try to run the key stands. */
export enum AttemptStage {
  NotBegun = 'not_begun',
  /** Its claim is not read back yet. */
  Pending = 'pending',
  /** Its claim stands in the log: it may run. */
  Won = 'won',
  /** Bytes went to a target. */
  Ran = 'ran',
  /** The caller was told that it was not run. */
  ToldNotRun = 'told_not_run',
  /** The caller was told that the key is taken, or that nothing is known. */
  ToldUnknown = 'told_unknown',
  /** Its daemon died; the caller was told nothing. */
  DaemonCrashed = 'gone',
}

/** One try of the caller under the one key. */
export interface Attempt {
  readonly stage: AttemptStage;
  /** Incarnation that has it; empty before it begins. */
  readonly incarnation: string;
  readonly ran: boolean;
  /** An earlier try had run when this one began. */
  readonly ranBefore: boolean;
}

/** One append of the claims stream. */
export interface ModelClaimBatch {
  readonly holder: string;
  readonly sequence: number;
  /** Tries that claim the key. */
  readonly claims: readonly number[];
  /** Tries that give it back. */
  readonly releases: readonly number[];
}

/** An entry daemon, as it is in memory. */
export interface ClaimsDaemon {
  readonly incarnation: string;
  /** Offset where it began to read. */
  readonly startOffset: number;
  /** Offset that it reads next. */
  readonly nextOffset: number;
  readonly sequence: number;
  /** The append whose answer it waits for. */
  readonly appendInFlight: ModelClaimBatch | null;
  readonly pendingClaims: readonly number[];
  readonly pendingReleases: readonly number[];
}

/** The whole state: the log, the network, two daemons, one key. */
export interface ClaimsState {
  readonly log: readonly ModelClaimBatch[];
  /** Appends that may still land. */
  readonly appendsInFlight: readonly ModelClaimBatch[];
  readonly daemons: readonly ClaimsDaemon[];
  readonly attempts: readonly Attempt[];
  /** Answers left that are lost. */
  readonly lostResponsesLeft: number;
  /** Landings left that happen twice. */
  readonly duplicatesLeft: number;
  /** Crashes left. */
  readonly crashesLeft: number;
  /** Refusals after a won claim left. */
  readonly rejectionsLeft: number;
}

/** What the fold makes of a stretch of the log. */
export interface ClaimsFold {
  /** The try that holds the key; undefined when it is free. */
  readonly owner: number | undefined;
  /** Tries whose release stands in the log. */
  readonly released: readonly number[];
  /** Tells for each batch whether it counted. */
  readonly accepted: readonly boolean[];
}

/** The fold of the specification; `fenced` drops what stands behind its successor. */
export function foldClaims(
  log: readonly ModelClaimBatch[],
  fenced: boolean,
  isFree: (owner: number) => boolean = () => false,
): ClaimsFold {
  let owner: number | undefined;
  const released: number[] = [];
  const counted: boolean[] = [];
  const last = new Map<string, number>();
  for (const batch of log) {
    const next = !fenced || batch.sequence > (last.get(batch.holder) ?? 0);
    counted.push(next);
    if (!next) continue;
    last.set(batch.holder, batch.sequence);
    for (const attempt of batch.releases) {
      if (owner !== attempt) continue;
      owner = undefined;
      released.push(attempt);
    }
    for (const attempt of batch.claims) {
      if (owner === undefined || isFree(owner)) owner = attempt;
    }
  }
  return {owner, released, accepted: counted};
}

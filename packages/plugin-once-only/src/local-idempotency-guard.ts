import {ErrorKind, RequestError, type Plugin} from '@gentiandoor/kernel';
import type {
  HeldAnswer,
  ClaimHandle,
  KeyedRequestDecision,
  KeyedRequest,
  IdempotencyGuard,
} from '@gentiandoor/shared-state';
import type {OnceOnlyOptions} from './once-only-options.js';

enum ClaimState {
  Running = 'running',
  Finished = 'finished',
  Lost = 'lost',
}

interface Claim {
  state: ClaimState;
  readonly fingerprint: string;
  answer?: HeldAnswer;
}

/**
 * Detects repeated keys at one daemon only: the baseline to which claims in the log are
 * compared.
 */
export class LocalIdempotencyGuard implements IdempotencyGuard, Plugin {
  private readonly claims = new Map<string, Claim>();

  constructor(
    private readonly dependencies: {
      readonly onceOnlyOptions: Pick<OnceOnlyOptions, 'keys'>;
    },
  ) {}

  async start(): Promise<void> {}

  async stop(): Promise<void> {}

  async begin(request: KeyedRequest): Promise<KeyedRequestDecision> {
    const claimKey = JSON.stringify([
      request.caller,
      request.service,
      request.key,
    ]);
    const claim = this.claims.get(claimKey);
    if (!claim)
      return {run: true, claim: this.claim(claimKey, request.fingerprint)};
    if (claim.fingerprint !== request.fingerprint) {
      throw new RequestError(
        ErrorKind.KeyReused,
        'the key belongs to another request',
      );
    }
    if (claim.answer) return {run: false, answer: claim.answer};
    throw new RequestError(
      ERROR_KIND_BY_STATE[claim.state],
      `the key is ${claim.state}`,
    );
  }

  private claim(claimKey: string, fingerprint: string): ClaimHandle {
    const claim: Claim = {state: ClaimState.Running, fingerprint};
    this.claims.set(claimKey, claim);
    this.evictOldest();
    return {
      finish: answer => {
        claim.state = ClaimState.Finished;
        claim.answer = answer;
      },
      release: () => this.claims.delete(claimKey),
      lose: () => {
        claim.state = ClaimState.Lost;
      },
    };
  }

  private evictOldest(): void {
    if (this.claims.size <= this.dependencies.onceOnlyOptions.keys) return;
    const [oldest] = this.claims.keys();
    this.claims.delete(oldest);
  }
}

const ERROR_KIND_BY_STATE: Readonly<Record<ClaimState, ErrorKind>> = {
  [ClaimState.Running]: ErrorKind.KeyInProgress,
  [ClaimState.Finished]: ErrorKind.KeyAlreadyRun,
  [ClaimState.Lost]: ErrorKind.KeyOutcomeUnknown,
};

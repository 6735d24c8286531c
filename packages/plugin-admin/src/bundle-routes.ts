import {randomUUID} from 'node:crypto';
import {z} from 'zod';
import {
  AdminMethod,
  BundleError,
  type AdminResponse,
  type AdminRequest,
  type AdminRoutes,
} from '@gentiandoor/kernel';
import {
  RecordKind,
  makeProposalRecord,
  parseBundle,
  type BundleHistoryEntry,
  type SharedState,
} from '@gentiandoor/shared-state';
import {publishOperatorRecord} from './publish-operator-record.js';

const OPERATOR_WRITER = 'operator';

const proposalBodySchema = z.strictObject({text: z.string()});
const signOffBodySchema = z.strictObject({
  version: z.number().int(),
  digest: z.string(),
  operator: z.string(),
  signature: z.string(),
});

/** A bundle waiting for sign-offs, as returned by the admin port. */
export interface ProposalView {
  readonly version: number;
  readonly base: number;
  readonly digest: string;
  readonly author: string;
  readonly signers: readonly string[];
  readonly signOffsNeeded: number;
  readonly text: string;
}

/** The bundle in force, as returned by the admin port. */
export interface InForceView {
  readonly version: number;
  readonly digest: string;
  readonly offset: number;
  readonly author: string;
  readonly text: string;
}

/** Response body of GET /bundles. */
export interface BundlesView {
  readonly inForce: InForceView | undefined;
  readonly proposals: readonly ProposalView[];
}

/** Admin routes that show, propose and sign off bundles. */
export class BundleRoutes {
  constructor(private readonly sharedState: SharedState) {}

  register(routes: AdminRoutes): void {
    routes.add(AdminMethod.Get, '/bundles', async () => ({
      status: 200,
      body: this.view(),
    }));
    routes.add(AdminMethod.Get, '/bundles/history', async () => ({
      status: 200,
      body: this.history(),
    }));
    routes.add(AdminMethod.Post, '/bundles/proposals', request =>
      this.propose(request),
    );
    routes.add(AdminMethod.Post, '/bundles/sign-offs', request =>
      this.signOff(request),
    );
  }

  private view(): BundlesView {
    const {inForce, proposals} = this.sharedState.state;
    return {
      inForce: inForce && {
        version: inForce.bundle.version,
        digest: inForce.digest,
        offset: inForce.offset,
        author: inForce.bundle.author,
        text: inForce.text,
      },
      proposals: [...proposals.values()].map(
        ({bundle, digest, signers, text}) => ({
          version: bundle.version,
          base: bundle.base,
          digest,
          author: bundle.author,
          signers: [...signers],
          signOffsNeeded:
            inForce?.bundle.signOffs ?? Math.max(1, bundle.signOffs),
          text,
        }),
      ),
    };
  }

  /** Returns the bundles that came into force, newest first. */
  private history(): BundleHistoryEntry[] {
    const {history} = this.sharedState.state;
    return [...history.values()].sort(
      (left, right) => right.version - left.version,
    );
  }

  private async propose(request: AdminRequest): Promise<AdminResponse> {
    const body = proposalBodySchema.safeParse(request.body);
    if (!body.success) return badBodyResponse('{"text": "the bundle in INI"}');
    const {text} = body.data;
    try {
      parseBundle(text);
    } catch (error) {
      if (!(error instanceof BundleError)) throw error;
      return {status: 400, body: {error: error.message}};
    }
    const head = {id: randomUUID(), writer: OPERATOR_WRITER};
    return publishOperatorRecord(
      this.sharedState,
      makeProposalRecord(this.sharedState.state, head, text),
    );
  }

  private async signOff(request: AdminRequest): Promise<AdminResponse> {
    const body = signOffBodySchema.safeParse(request.body);
    if (!body.success)
      return badBodyResponse('version, digest, operator and signature');
    return publishOperatorRecord(this.sharedState, {
      kind: RecordKind.BundleSigned,
      id: randomUUID(),
      writer: body.data.operator,
      ...body.data,
    });
  }
}

function badBodyResponse(expected: string): AdminResponse {
  return {status: 400, body: {error: `expected a JSON body with ${expected}`}};
}

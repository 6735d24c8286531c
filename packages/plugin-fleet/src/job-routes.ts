import {
  AdminMethod,
  PlatformLogError,
  type AdminResponse,
  type AdminRoutes,
} from '@gentiandoor/kernel';
import {
  MAXIMUM_BATCH_ENTRIES,
  RecordKind,
  type SharedState,
} from '@gentiandoor/shared-state';
import type {z} from 'zod';
import {
  toAdminResponse,
  readHandler,
  recordHandler,
} from './admin-responses.js';
import {cancelRequestSchema, jobRequestSchema} from './admin-schemas.js';
import {FleetPath} from './admin-shapes.js';
import {jobBodies} from './fleet-views.js';
import type {FleetPublisher, RecordWithoutId} from './fleet-publisher.js';

/** Components that the routes depend on. */
export interface JobRoutesDependencies {
  readonly adminRoutes: AdminRoutes;
  readonly sharedState: SharedState;
  readonly fleetPublisher: FleetPublisher;
}

/** Admin paths to submit, list and cancel jobs. */
export class JobRoutes {
  constructor(private readonly dependencies: JobRoutesDependencies) {
    const {adminRoutes, fleetPublisher, sharedState} = dependencies;
    adminRoutes.add(
      AdminMethod.Post,
      FleetPath.Jobs,
      recordHandler(fleetPublisher, jobRequestSchema, jobRecord),
    );
    adminRoutes.add(
      AdminMethod.Get,
      FleetPath.Jobs,
      readHandler(query => jobBodies(sharedState.state, query)),
    );
    adminRoutes.add(AdminMethod.Post, FleetPath.JobsCancel, request =>
      this.cancel(request.body),
    );
  }

  /**
   * Writes one record for each `MAXIMUM_BATCH_ENTRIES` keys; stops at the first one whose
   * outcome is not known and responds with the outcome of the last one written.
   */
  private async cancel(body: unknown): Promise<AdminResponse> {
    const parsed = cancelRequestSchema.safeParse(body);
    if (!parsed.success)
      return {status: 400, body: {error: parsed.error.message}};
    const {keys, operator: writer, requestId} = parsed.data;
    let response: AdminResponse = {status: 200, body: {}};
    for (let from = 0; from < keys.length; from += MAXIMUM_BATCH_ENTRIES) {
      const batch = keys.slice(from, from + MAXIMUM_BATCH_ENTRIES);
      const id = requestId && `${requestId}/${from}`;
      response = await this.cancelBatch(batch, writer, id);
      if (response.status === 503) return response;
    }
    return response;
  }

  private async cancelBatch(
    keys: readonly string[],
    writer: string,
    id: string | undefined,
  ): Promise<AdminResponse> {
    const record: RecordWithoutId = {
      kind: RecordKind.JobsCancelled,
      writer,
      keys,
    };
    try {
      return toAdminResponse(
        await this.dependencies.fleetPublisher.publish(record, id),
      );
    } catch (error) {
      if (!(error instanceof PlatformLogError)) throw error;
      return {
        status: 503,
        body: {
          accepted: false,
          reason: 'log_unavailable',
          error: `${error.message}; send the cancellation again, jobs that are already cancelled stay cancelled`,
        },
      };
    }
  }
}

function jobRecord(body: z.output<typeof jobRequestSchema>): RecordWithoutId {
  const {key, team, pool, jobClass, idempotent, size, payload} = body;
  return {
    kind: RecordKind.JobSubmitted,
    writer: body.operator,
    key,
    team,
    pool,
    jobClass,
    idempotent,
    size,
    payload,
  };
}

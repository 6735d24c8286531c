import {z} from 'zod';
import {
  TaskState,
  type LeaseClient,
  type TaskReport,
  type TaskRequest,
} from '@gentiandoor/shared-state';
import type {PlatformClient} from './platform-client.js';

const taskReportSchema = z.object({
  id: z.string(),
  vm: z.string(),
  state: z.enum(TaskState),
  usage: z.object({
    processors: z.number(),
    memoryGigabytes: z.number(),
    accelerators: z.number(),
  }),
  usageAgeMilliseconds: z.number(),
});
const taskReportsSchema = z.object({tasks: z.array(taskReportSchema)});

/** Client of the platform's task leases over HTTP. */
export class HttpLeaseClient implements LeaseClient {
  private readonly client: PlatformClient;

  constructor(dependencies: {readonly platformCalls: PlatformClient}) {
    this.client = dependencies.platformCalls;
  }

  start(request: TaskRequest, signal?: AbortSignal): Promise<TaskReport> {
    return this.client.post('/tasks/start', request, taskReportSchema, signal);
  }

  renew(
    id: string,
    leaseMilliseconds: number,
    signal?: AbortSignal,
  ): Promise<TaskReport> {
    const body = {id, leaseMilliseconds};
    return this.client.post('/tasks/renew', body, taskReportSchema, signal);
  }

  stop(id: string, signal?: AbortSignal): Promise<TaskReport> {
    return this.client.post('/tasks/stop', {id}, taskReportSchema, signal);
  }

  checkpoint(id: string, signal?: AbortSignal): Promise<TaskReport> {
    return this.client.post(
      '/tasks/checkpoint',
      {id},
      taskReportSchema,
      signal,
    );
  }

  throttle(
    id: string,
    share: number,
    signal?: AbortSignal,
  ): Promise<TaskReport> {
    const body = {id, share};
    return this.client.post('/tasks/throttle', body, taskReportSchema, signal);
  }

  async report(signal?: AbortSignal): Promise<readonly TaskReport[]> {
    const {tasks} = await this.client.get('/tasks', taskReportsSchema, signal);
    return tasks;
  }
}

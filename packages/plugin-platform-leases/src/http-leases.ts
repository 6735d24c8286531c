import {z} from 'zod';
import {
  TaskState,
  type LeaseClient,
  type TaskReport,
  type TaskRequest,
} from '@gentiandoor/shared-state';
import type {PlatformCalls} from './platform-calls.js';

const taskReport = z.object({
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
const taskReports = z.object({tasks: z.array(taskReport)});

/** The platform's task leases over HTTP. */
export class HttpLeases implements LeaseClient {
  private readonly calls: PlatformCalls;

  constructor(dependencies: {readonly platformCalls: PlatformCalls}) {
    this.calls = dependencies.platformCalls;
  }

  start(request: TaskRequest, signal?: AbortSignal): Promise<TaskReport> {
    return this.calls.post('/tasks/start', request, taskReport, signal);
  }

  renew(
    id: string,
    leaseMilliseconds: number,
    signal?: AbortSignal,
  ): Promise<TaskReport> {
    const body = {id, leaseMilliseconds};
    return this.calls.post('/tasks/renew', body, taskReport, signal);
  }

  stop(id: string, signal?: AbortSignal): Promise<TaskReport> {
    return this.calls.post('/tasks/stop', {id}, taskReport, signal);
  }

  checkpoint(id: string, signal?: AbortSignal): Promise<TaskReport> {
    return this.calls.post('/tasks/checkpoint', {id}, taskReport, signal);
  }

  throttle(
    id: string,
    share: number,
    signal?: AbortSignal,
  ): Promise<TaskReport> {
    const body = {id, share};
    return this.calls.post('/tasks/throttle', body, taskReport, signal);
  }

  async report(signal?: AbortSignal): Promise<readonly TaskReport[]> {
    const {tasks} = await this.calls.get('/tasks', taskReports, signal);
    return tasks;
  }
}

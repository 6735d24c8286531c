import {z} from 'zod';
import {
  VmActionState,
  type VmActionRequest,
  type VmActions,
} from '@gentiandoor/shared-state';
import type {PlatformClient} from './platform-client.js';

const actionReportSchema = z.object({state: z.enum(VmActionState)});

/** Requests reboots and replacements of VMs from the platform over HTTP. */
export class HttpVmActions implements VmActions {
  private readonly client: PlatformClient;

  constructor(dependencies: {readonly platformCalls: PlatformClient}) {
    this.client = dependencies.platformCalls;
  }

  async requestAction(
    request: VmActionRequest,
    signal?: AbortSignal,
  ): Promise<VmActionState> {
    const {state} = await this.client.post(
      '/vm-actions',
      request,
      actionReportSchema,
      signal,
    );
    return state;
  }
}

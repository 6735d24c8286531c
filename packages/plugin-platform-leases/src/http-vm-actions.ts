import {z} from 'zod';
import {
  VmActionState,
  type VmActionRequest,
  type VmActions,
} from '@gentiandoor/shared-state';
import type {PlatformCalls} from './platform-calls.js';

const actionReport = z.object({state: z.enum(VmActionState)});

/** The platform's reboots and replacements over HTTP. */
export class HttpVmActions implements VmActions {
  private readonly calls: PlatformCalls;

  constructor(dependencies: {readonly platformCalls: PlatformCalls}) {
    this.calls = dependencies.platformCalls;
  }

  async ask(
    request: VmActionRequest,
    signal?: AbortSignal,
  ): Promise<VmActionState> {
    const {state} = await this.calls.post(
      '/vm-actions',
      request,
      actionReport,
      signal,
    );
    return state;
  }
}

import {asClass, asValue} from 'awilix';
import type {PluginRegistry} from '@gentiandoor/kernel';
import {HttpLeases} from './http-leases.js';
import {HttpVmActions} from './http-vm-actions.js';
import {PlatformCalls} from './platform-calls.js';
import {PlatformLeasesEdge} from './platform-leases-edge.js';
import {platformLeasesOptions} from './platform-leases-options.js';

export {HttpLeases} from './http-leases.js';
export {HttpVmActions} from './http-vm-actions.js';
export {PlatformCallError, PlatformCalls} from './platform-calls.js';

/** Registers the edge to the platform's task leases and VM actions. */
export function registerPlatformLeases(registry: PluginRegistry): void {
  registry.add({
    name: 'platform-leases',
    options: platformLeasesOptions,
    service: 'platformLeases',
    register(container, options) {
      container.register({
        platformLeasesOptions: asValue(options),
        platformCalls: asClass(PlatformCalls).singleton(),
        leaseClient: asClass(HttpLeases).singleton(),
        vmActions: asClass(HttpVmActions).singleton(),
        platformLeases: asClass(PlatformLeasesEdge).singleton(),
      });
    },
  });
}

import {asClass, asValue} from 'awilix';
import type {PluginRegistry} from '@gentiandoor/kernel';
import {HttpLeaseClient} from './http-lease-client.js';
import {HttpVmActions} from './http-vm-actions.js';
import {PlatformClient} from './platform-client.js';
import {PlatformLeasesPlugin} from './platform-leases-plugin.js';
import {platformLeasesOptions} from './platform-leases-options.js';

export {HttpLeaseClient} from './http-lease-client.js';
export {HttpVmActions} from './http-vm-actions.js';
export {PlatformRequestError, PlatformClient} from './platform-client.js';

/** Registers the clients of the platform's task leases and VM actions. */
export function registerPlatformLeases(registry: PluginRegistry): void {
  registry.add({
    name: 'platform-leases',
    options: platformLeasesOptions,
    registrationName: 'platformLeases',
    register(container, options) {
      container.register({
        platformLeasesOptions: asValue(options),
        platformCalls: asClass(PlatformClient).singleton(),
        leaseClient: asClass(HttpLeaseClient).singleton(),
        vmActions: asClass(HttpVmActions).singleton(),
        platformLeases: asClass(PlatformLeasesPlugin).singleton(),
      });
    },
  });
}

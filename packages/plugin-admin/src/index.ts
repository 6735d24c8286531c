import {asClass, asValue} from 'awilix';
import type {PluginRegistry} from '@gentiandoor/kernel';
import {adminOptions} from './admin-options.js';
import {AdminServer} from './admin-server.js';

export {AdminServer, type StatusView} from './admin-server.js';
export type {BundlesView, InForceView, ProposalView} from './bundle-routes.js';
export type {PublishResult} from './publish-operator-record.js';

/** Registers the plug-in that serves the admin port. */
export function registerAdmin(registry: PluginRegistry): void {
  registry.add({
    name: 'admin',
    options: adminOptions,
    registrationName: 'admin',
    register(container, options) {
      container.register({
        adminOptions: asValue(options),
        admin: asClass(AdminServer).singleton(),
      });
    },
  });
}

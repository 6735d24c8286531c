import {asClass, asValue} from 'awilix';
import type {PluginRegistry} from '@gentiandoor/kernel';
import {HttpVmList} from './http-vm-list.js';
import {platformListOptions} from './platform-list-options.js';

export {HttpVmList} from './http-vm-list.js';

/** Registers the client of the platform's list of VMs. */
export function registerPlatformList(registry: PluginRegistry): void {
  registry.add({
    name: 'platform-list',
    options: platformListOptions,
    registrationName: 'vmList',
    register(container, options) {
      container.register({
        platformListOptions: asValue(options),
        vmList: asClass(HttpVmList).singleton(),
      });
    },
  });
}

import {asClass, asValue} from 'awilix';
import type {PluginRegistry} from '@gentiandoor/kernel';
import {LocalOnceOnly} from './local-once-only.js';
import {onceOnlyOptions} from './once-only-options.js';

export {LocalOnceOnly} from './local-once-only.js';

/** Registers the recognition of keyed requests. */
export function registerOnceOnly(registry: PluginRegistry): void {
  registry.add({
    name: 'once-only',
    options: onceOnlyOptions,
    service: 'onceOnly',
    register(container, options) {
      container.register({
        onceOnlyOptions: asValue(options),
        onceOnly: asClass(LocalOnceOnly).singleton(),
      });
    },
  });
}

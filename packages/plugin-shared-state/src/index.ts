import {asClass, asValue} from 'awilix';
import type {PluginRegistry} from '@gentiandoor/kernel';
import {LogBackedSharedState} from './log-backed-shared-state.js';
import {sharedStateOptions} from './shared-state-options.js';

export {LogBackedSharedState} from './log-backed-shared-state.js';
export {
  sharedStateOptions,
  type SharedStateOptions,
} from './shared-state-options.js';

/** Registers the shared state that is folded from the log. */
export function registerSharedState(registry: PluginRegistry): void {
  registry.add({
    name: 'shared-state',
    options: sharedStateOptions,
    registrationName: 'sharedState',
    register(container, options) {
      container.register({
        sharedStateOptions: asValue(options),
        sharedState: asClass(LogBackedSharedState).singleton(),
      });
    },
  });
}

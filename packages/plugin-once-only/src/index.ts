import {aliasTo, asClass, asValue} from 'awilix';
import type {PluginRegistry, Readiness} from '@gentiandoor/kernel';
import {ClaimsOverLog} from './claims-over-log.js';
import {onceOnlyOptions} from './once-only-options.js';

export {
  ClaimsOverLog,
  type ClaimsOverLogDependencies,
} from './claims-over-log.js';
export {LocalOnceOnly} from './local-once-only.js';
export {onceOnlyOptions, type OnceOnlyOptions} from './once-only-options.js';

/** Registers the recognition of keyed requests. */
export function registerOnceOnly(registry: PluginRegistry): void {
  registry.add({
    name: 'once-only',
    options: onceOnlyOptions,
    service: 'onceOnly',
    register(container, options) {
      container.register({
        onceOnlyOptions: asValue(options),
        onceOnly: asClass(ClaimsOverLog).singleton(),
        keyIssuer: aliasTo('onceOnly'),
      });
      container
        .resolve<Readiness>('readiness')
        .add(
          'claims of keys',
          () => container.resolve<ClaimsOverLog>('onceOnly').isReady,
        );
    },
  });
}

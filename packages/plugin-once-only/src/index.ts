import {aliasTo, asClass, asValue} from 'awilix';
import type {PluginRegistry, Readiness} from '@gentiandoor/kernel';
import {LogBackedIdempotencyGuard} from './log-backed-idempotency-guard.js';
import {onceOnlyOptions} from './once-only-options.js';

export {
  LogBackedIdempotencyGuard,
  type LogBackedIdempotencyGuardDependencies,
} from './log-backed-idempotency-guard.js';
export {LocalIdempotencyGuard} from './local-idempotency-guard.js';
export {onceOnlyOptions, type OnceOnlyOptions} from './once-only-options.js';

/** Registers the plug-in that detects repeated keyed requests. */
export function registerOnceOnly(registry: PluginRegistry): void {
  registry.add({
    name: 'once-only',
    options: onceOnlyOptions,
    registrationName: 'onceOnly',
    register(container, options) {
      container.register({
        onceOnlyOptions: asValue(options),
        onceOnly: asClass(LogBackedIdempotencyGuard).singleton(),
        keyIssuer: aliasTo('onceOnly'),
      });
      container
        .resolve<Readiness>('readiness')
        .add(
          'claims of keys',
          () =>
            container.resolve<LogBackedIdempotencyGuard>('onceOnly').isReady,
        );
    },
  });
}

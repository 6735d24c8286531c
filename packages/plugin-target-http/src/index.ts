import {asClass, asValue} from 'awilix';
import type {PluginRegistry} from '@gentiandoor/kernel';
import {HttpTargetTransport} from './http-target-transport.js';
import {targetHttpOptions} from './target-http-options.js';

export {HttpTargetTransport} from './http-target-transport.js';
export {targetHttpOptions} from './target-http-options.js';

/** Registers the HTTP transport to targets. */
export function registerTargetHttp(registry: PluginRegistry): void {
  registry.add({
    name: 'target-http',
    options: targetHttpOptions,
    registrationName: 'targetTransport',
    register(container, options) {
      container.register({
        targetHttpOptions: asValue(options),
        targetTransport: asClass(HttpTargetTransport).singleton(),
      });
    },
  });
}

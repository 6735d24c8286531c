import {asClass, asValue} from 'awilix';
import type {PluginRegistry} from '@gentiandoor/kernel';
import {callerHttpOptions} from './caller-http-options.js';
import {CallerHttpServer} from './caller-http-server.js';
import {RequestHandler} from './request-handler.js';
import {ServiceRouter} from './service-router.js';

export {CallerHttpServer} from './caller-http-server.js';
export {REASON_HEADER, RUN_HEADER} from './request-handler.js';

/** Registers the edge to callers. */
export function registerCallerHttp(registry: PluginRegistry): void {
  registry.add({
    name: 'caller-http',
    options: callerHttpOptions,
    service: 'callerHttp',
    register(container, options) {
      container.register({
        callerHttpOptions: asValue(options),
        serviceRouter: asClass(ServiceRouter).singleton(),
        requestHandler: asClass(RequestHandler).singleton(),
        callerHttp: asClass(CallerHttpServer).singleton(),
      });
    },
  });
}

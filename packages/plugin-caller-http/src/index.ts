import {aliasTo, asClass, asValue} from 'awilix';
import type {PluginRegistry} from '@gentiandoor/kernel';
import {CallerDirectory} from './caller-directory.js';
import {callerHttpOptions} from './caller-http-options.js';
import {CallerHttpServer} from './caller-http-server.js';
import {HeadCheck} from './incoming-request.js';
import {KeyedRequests} from './keyed-requests.js';
import {RequestDispatcher} from './request-dispatcher.js';
import {RequestHandler} from './request-handler.js';
import {RouterDrain} from './router-drain.js';
import {ServiceRouter} from './service-router.js';

export {CallerHttpServer} from './caller-http-server.js';
export {
  ServiceRouter,
  type ServiceRouterDependencies,
} from './service-router.js';
export {REASON_HEADER, RUN_HEADER} from './error-response.js';
export {LEAVING_HEADER} from './response-forwarder.js';
export {REPLAYED_HEADER} from './keyed-requests.js';

/** Registers the HTTP server for callers and the services that route their requests. */
export function registerCallerHttp(registry: PluginRegistry): void {
  registry.add({
    name: 'caller-http',
    options: callerHttpOptions,
    registrationName: 'callerHttp',
    register(container, options) {
      container.register({
        callerHttpOptions: asValue(options),
        serviceRouter: asClass(ServiceRouter).singleton(),
        routerDrain: asClass(RouterDrain).singleton(),
        routingDrain: aliasTo('routerDrain'),
        vmHealth: aliasTo('routerDrain'),
        callerDirectory: asClass(CallerDirectory).singleton(),
        headCheck: asClass(HeadCheck).singleton(),
        requestDispatcher: asClass(RequestDispatcher).singleton(),
        keyedRequests: asClass(KeyedRequests).singleton(),
        requestHandler: asClass(RequestHandler).singleton(),
        callerHttp: asClass(CallerHttpServer).singleton(),
      });
    },
  });
}

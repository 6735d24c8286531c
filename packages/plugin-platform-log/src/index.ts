import {asValue} from 'awilix';
import type {PluginRegistry} from '@gentiandoor/kernel';
import {HttpPlatformLog} from './http-platform-log.js';
import {
  platformLogOptions,
  type PlatformLogOptions,
} from './platform-log-options.js';

export {HttpPlatformLog} from './http-platform-log.js';

/** Registers the client of the platform's log. */
export function registerPlatformLog(registry: PluginRegistry): void {
  registry.add({
    name: 'platform-log',
    options: platformLogOptions,
    registrationName: 'platformLog',
    register(container, options) {
      const log = new HttpPlatformLog(options as PlatformLogOptions);
      container.register({platformLog: asValue(log)});
    },
  });
}

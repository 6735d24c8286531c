import {asValue} from 'awilix';
import type {Plugin, PluginRegistry} from '@gentiandoor/kernel';
import {NoPeerLinks} from '@gentiandoor/shared-state';
import {peersOptions} from './peers-options.js';

class UnlinkedPeers extends NoPeerLinks implements Plugin {
  async start(): Promise<void> {}

  async stop(): Promise<void> {}
}

/** Registers the links to other entry daemons. */
export function registerPeers(registry: PluginRegistry): void {
  registry.add({
    name: 'peers',
    options: peersOptions,
    service: 'peerLinks',
    register(container) {
      container.register({peerLinks: asValue(new UnlinkedPeers())});
    },
  });
}

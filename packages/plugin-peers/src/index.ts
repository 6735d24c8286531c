import {asClass, asValue} from 'awilix';
import type {PluginRegistry} from '@gentiandoor/kernel';
import {PeerDirectory} from '@gentiandoor/shared-state';
import {peersOptions} from './peers-options.js';
import {WebSocketPeerLinks} from './web-socket-peer-links.js';

export {WebSocketPeerLinks} from './web-socket-peer-links.js';
export {FrameKind, decodeFrame, encodeFrame} from './peer-frames.js';
export {FrameAuthenticator, LinkSide} from './frame-authentication.js';
export {choosePeers, type PeerCandidate} from './peer-choice.js';
export {peersOptions, type PeersOptions} from './peers-options.js';

/** Registers the links to other entry daemons. */
export function registerPeers(registry: PluginRegistry): void {
  registry.add({
    name: 'peers',
    options: peersOptions,
    registrationName: 'peerLinks',
    register(container, options) {
      container.register({
        peersOptions: asValue(options),
        peerDirectory: asValue(new PeerDirectory()),
        peerLinks: asClass(WebSocketPeerLinks).singleton(),
      });
    },
  });
}

import {PluginRegistry} from '@gentiandoor/kernel';
import {registerAdmin} from '@gentiandoor/plugin-admin';
import {registerCallerHttp} from '@gentiandoor/plugin-caller-http';
import {registerFleet} from '@gentiandoor/plugin-fleet';
import {registerMetrics} from '@gentiandoor/plugin-metrics';
import {registerOnceOnly} from '@gentiandoor/plugin-once-only';
import {registerPeers} from '@gentiandoor/plugin-peers';
import {registerPlatformLeases} from '@gentiandoor/plugin-platform-leases';
import {registerPlatformList} from '@gentiandoor/plugin-platform-list';
import {registerPlatformLog} from '@gentiandoor/plugin-platform-log';
import {registerSharedState} from '@gentiandoor/plugin-shared-state';
import {registerTargetHttp} from '@gentiandoor/plugin-target-http';

/** All plug-ins of the daemon, in the order in which they start. */
export function allPlugins(): PluginRegistry {
  const registry = new PluginRegistry();
  registerMetrics(registry);
  registerPlatformLog(registry);
  registerPlatformList(registry);
  registerSharedState(registry);
  registerPeers(registry);
  registerOnceOnly(registry);
  registerTargetHttp(registry);
  registerCallerHttp(registry);
  registerPlatformLeases(registry);
  registerFleet(registry);
  registerAdmin(registry);
  return registry;
}

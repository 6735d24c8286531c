import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {readPlatformSettings} from '@gentiandoor/platform';
import {
  standInSettings,
  type StandInPlatform,
} from '@gentiandoor/platform/stand-ins';
import {wireEntry, type EntryParts} from '../wiring.js';
import {freePort} from './free-port.js';

/** Stops a daemon of a test and the platform that it runs on. */
export async function stopDaemon(
  parts: EntryParts,
  platform: StandInPlatform,
): Promise<void> {
  await parts.coordinator.drain();
  await parts.lifeCycle.stop();
  await parts.storeClient.closeAll();
  await parts.workerClient.closeAll();
  platform.stop();
}

/** A complete daemon in this process, on a stand-in of the platform. */
export class RunningDaemon {
  private constructor(
    readonly parts: EntryParts,
    readonly callerPort: number,
    readonly readinessPort: number,
    private readonly platform: StandInPlatform,
    private readonly folder: string,
  ) {}

  /**
   * Starts a daemon on `platform`, which must already be running; `contracts` are the parts of the
   * platform's rules that are in force.
   */
  static async start(
    platform: StandInPlatform,
    contracts: readonly string[] = [],
  ): Promise<RunningDaemon> {
    const folder = mkdtempSync(join(tmpdir(), 'entry-'));
    const callers = await freePort();
    const readiness = await freePort();
    const path = join(folder, 'node.json');
    const settings = standInSettings(platform, 'one', {callers, readiness});
    writeFileSync(path, JSON.stringify({...settings, contracts}));
    const parts = wireEntry(readPlatformSettings(path), {
      metricsPort: await freePort(),
    });
    await parts.lifeCycle.start();
    return new RunningDaemon(parts, callers, readiness, platform, folder);
  }

  async stop(): Promise<void> {
    await stopDaemon(this.parts, this.platform);
    rmSync(this.folder, {recursive: true});
  }
}

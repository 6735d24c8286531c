import {Deployment} from '../deployment.js';
import {freeAddress} from './child-process.js';
import {oneRackBundle} from '../one-rack-bundle.js';

/** Message from the back-end process to its parent. */
export interface BackEndMessage {
  /** INI settings of a daemon that uses this platform and these targets. */
  readonly settings: string;
  readonly callerAddress: string;
  readonly adminAddress: string;
  readonly targetAddresses: readonly string[];
}

const VMS = Array.from({length: 8}, (_, index) => `hall-a-r1-${index + 1}`);

/**
 * Starts the platform's stand-in and a rack of targets; runs until the parent disconnects or kills
 * it.
 */
async function main(): Promise<void> {
  const deployment = new Deployment();
  await deployment.startPlatform();
  await deployment.startRack({
    name: 'hall-a-r1',
    dataCentre: 'hall-a',
    vms: VMS,
  });
  for (const target of deployment.targets.values())
    target.recordsRequests = false;
  await deployment.rollOut(
    oneRackBundle({
      publicKey: deployment.operator.publicKey,
      service: 'desk',
      vms: 'hall-a-r1-[1-8]',
    }),
  );
  const callerAddress = await freeAddress();
  const adminAddress = await freeAddress();
  const message: BackEndMessage = {
    settings: deployment.settingsOf('entry-1', 'hall-a', {
      callerListen: callerAddress,
      adminListen: adminAddress,
    }),
    callerAddress,
    adminAddress,
    targetAddresses: [...deployment.targets.values()].map(
      target => target.address,
    ),
  };
  process.send?.(message);
  process.on('disconnect', () => process.exit(0));
}

await main();

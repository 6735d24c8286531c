#!/usr/bin/env node
import sade from 'sade';
import {SystemClock, toError} from '@gentiandoor/kernel';
import {ListedState} from '@gentiandoor/shared-state';
import {MemoryLog} from '../memory-log.js';
import {MemoryVmList} from '../memory-vm-list.js';
import {PlatformServer} from '../platform-server.js';
import {TargetServer} from '../target-server.js';

interface Options {
  readonly listen: string;
  readonly vms?: string;
}

async function run(options: Options): Promise<void> {
  const clock = new SystemClock();
  const list = new MemoryVmList(clock);
  const platform = new PlatformServer(new MemoryLog(clock), list);
  const address = await platform.start(options.listen);
  process.stdout.write(`platform ${address}\n`);
  for (const item of (options.vms ?? '').split(',').filter(Boolean)) {
    const [id, dataCentre, rack] = item.split(':');
    const target = new TargetServer(id);
    await target.start('127.0.0.1:0');
    list.put({
      id,
      address: target.address,
      dataCentre,
      rack,
      state: ListedState.Live,
    });
    process.stdout.write(`target ${id} ${target.address}\n`);
  }
}

sade('gentiandoor-stand-ins', true)
  .describe('Runs the stand-ins of the platform and of targets.')
  .option('--listen', 'IP number and port of the platform', '127.0.0.1:0')
  .option('--vms', 'VMs as id:data-centre:rack, comma-separated')
  .action((options: Options) => {
    run(options).catch(error => {
      process.stderr.write(
        `gentiandoor-stand-ins: ${toError(error).message}\n`,
      );
      process.exit(1);
    });
  })
  .parse(process.argv);

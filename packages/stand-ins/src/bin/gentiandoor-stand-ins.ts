#!/usr/bin/env node
import sade from 'sade';
import {SystemClock, toError} from '@gentiandoor/kernel';
import {ListedState} from '@gentiandoor/shared-state';
import {MemoryLeaseClient, type TaskBehaviour} from '../memory-lease-client.js';
import {MemoryLog} from '../memory-log.js';
import {MemoryVmActions} from '../memory-vm-actions.js';
import {MemoryVmList} from '../memory-vm-list.js';
import {PlatformLeaseRoutes} from '../platform-lease-routes.js';
import {PlatformServer} from '../platform-server.js';
import {TargetRebootingVmActions} from '../target-rebooting-vm-actions.js';
import {TargetServer, type ExecutedRequest} from '../target-server.js';

const BOOT_MILLISECONDS = 400;
const TASK_BEHAVIOUR: TaskBehaviour = {
  runMilliseconds: 500,
  fails: false,
  usage: {processors: 1, memoryGigabytes: 1, accelerators: 0},
};

interface Options {
  readonly listen: string;
  readonly vms?: string;
  readonly 'print-runs'?: boolean;
}

async function run(options: Options): Promise<void> {
  const clock = new SystemClock();
  const list = new MemoryVmList(clock);
  const targets = new Map<string, TargetServer>();
  const actions = new MemoryVmActions(clock, list);
  actions.bootMilliseconds = BOOT_MILLISECONDS;
  const routes = new PlatformLeaseRoutes(
    new MemoryLeaseClient(clock, () => TASK_BEHAVIOUR),
    new TargetRebootingVmActions(clock, actions, targets),
  );
  const platform = new PlatformServer(new MemoryLog(clock), list, routes);
  const address = await platform.start(options.listen);
  process.stdout.write(`platform ${address}\n`);
  for (const item of (options.vms ?? '').split(',').filter(Boolean)) {
    const [id, dataCentre, rack] = item.split(':');
    const target = new TargetServer(id);
    target.recordsRequests = false;
    if (options['print-runs']) target.onRun = run => printRun(id, run);
    await target.start('127.0.0.1:0');
    targets.set(id, target);
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

function printRun(id: string, run: ExecutedRequest): void {
  process.stdout.write(`ran ${id} ${run.method} ${run.path}\n`);
}

sade('gentiandoor-stand-ins', true)
  .describe('Runs the stand-ins of the platform and of targets.')
  .option('--listen', 'IP number and port of the platform', '127.0.0.1:0')
  .option('--vms', 'VMs as id:data-centre:rack, comma-separated')
  .option('--print-runs', 'Print a line for each request that a target runs')
  .action((options: Options) => {
    run(options).catch(error => {
      process.stderr.write(
        `gentiandoor-stand-ins: ${toError(error).message}\n`,
      );
      process.exit(1);
    });
  })
  .parse(process.argv);

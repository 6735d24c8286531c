import {SystemClock} from '@gentiandoor/kernel';
import {ListedState, type ListedVm} from '@gentiandoor/shared-state';
import {MemoryLog, MemoryVmList, PlatformServer} from '@gentiandoor/stand-ins';
import {Pool} from 'undici';
import {TcpByteCounter} from '../scenarios/tcp-byte-counter.js';
import {MeasuredLine} from './measured-line.js';
import {Unit, type Measurement} from './measurement.js';

const CHANGES = [1, 10, 100, 1000];

function listedVm(index: number): ListedVm {
  return {
    id: `r${Math.floor(index / 16)}-${index % 16}`,
    address: `10.0.${index >> 8}.${index & 255}:8080`,
    dataCentre: `dc-${index % 12}`,
    rack: `r${Math.floor(index / 16)}`,
    state: ListedState.Live,
  };
}

/** Measures the bytes in both directions of a poll that returns `changes` changes. */
async function pollBytes(changes: number): Promise<number> {
  const clock = new SystemClock();
  const list = new MemoryVmList(clock);
  const server = new PlatformServer(new MemoryLog(clock), list);
  const address = await server.start('127.0.0.1:0');
  const traffic = new TcpByteCounter();
  traffic.start();
  const pool = new Pool(`http://${address}`, {connections: 1, pipelining: 1});
  const poll = async (path: string) => {
    const response = await pool.request({path, method: 'GET'});
    return (await response.body.json()) as {
      readonly version: number;
      readonly vms: readonly unknown[];
    };
  };
  const {version} = await poll('/vms');
  for (let index = 0; index < changes; index++) list.put(listedVm(index));
  const before = traffic.bytes;
  const {vms} = await poll(`/vms?since=${version}`);
  const bytes = traffic.bytes - before;
  traffic.stop();
  await pool.destroy();
  await server.stop();
  if (vms.length !== changes)
    throw new Error('the poll did not return all changes');
  return bytes;
}

/** Measurements of polls of the platform's list by a reader that has an earlier version. */
export const LIST_MEASUREMENTS: readonly Measurement[] = [
  {
    name: MeasuredLine.ListDelta,
    unit: Unit.Bytes,
    per: 'change',
    sizes: CHANGES,
    measure: pollBytes,
  },
];

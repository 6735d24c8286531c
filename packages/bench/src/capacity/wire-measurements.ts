import {randomBytes} from 'node:crypto';
import {SystemClock, sleep} from '@gentiandoor/kernel';
import {HttpPlatformLog} from '@gentiandoor/plugin-platform-log';
import {StreamName} from '@gentiandoor/shared-state';
import {MemoryLog, MemoryVmList, PlatformServer} from '@gentiandoor/stand-ins';
import {StateDeployment} from '../scenarios/shared-state-deployment.js';
import {TcpByteCounter} from '../scenarios/tcp-byte-counter.js';
import {MeasuredLine} from './measured-line.js';
import {Unit, memoizeBySize, type Measurement} from './measurement.js';

const RECORDS = [1, 10, 100, 1000];
/** Approximate payload size of a drain record. */
const RECORD_BYTES = 200;
const LINKS = [2, 4, 6, 8];
const SETTLE_MILLISECONDS = 3000;
const IDLE_MILLISECONDS = 12_000;
const MICROSECONDS_IN_SECOND = 1e6;

/** Measures the bytes in both directions of a read that returns `records` records. */
async function readBytes(records: number): Promise<number> {
  const clock = new SystemClock();
  const log = new MemoryLog(clock, {
    appendsPerSecond: 10_000,
    retainedRecords: 100_000,
  });
  const payloads = Array.from({length: records}, () =>
    randomBytes(RECORD_BYTES),
  );
  await log.append(StreamName.Fleet, payloads);
  const server = new PlatformServer(log, new MemoryVmList(clock));
  const address = await server.start('127.0.0.1:0');
  const traffic = new TcpByteCounter();
  traffic.start();
  const client = new HttpPlatformLog({address, timeout_milliseconds: 5000});
  const options = {limit: records, waitMilliseconds: 0};
  const {payloads: read} = await client.read(StreamName.Fleet, 0, options);
  const {bytes} = traffic;
  traffic.stop();
  await client.stop();
  await server.stop();
  if (read.length !== records)
    throw new Error('the read did not return all records');
  return bytes;
}

/** Bytes per second and share of a core of an idle daemon with `links` links. */
const measureIdleDaemon = memoizeBySize(async (links: number) => {
  const traffic = new TcpByteCounter();
  traffic.start();
  const entries = Array.from({length: links + 1}, (_, index) => ({
    name: `entry-${index + 1}`,
    dataCentre: 'dc-1',
  }));
  const deployment = new StateDeployment({
    entries,
    seed: 1,
    hasPeers: true,
    logDelayMilliseconds: 1,
  });
  await deployment.start();
  await sleep(deployment.clock, SETTLE_MILLISECONDS);
  const before = traffic.bytes;
  const processor = process.cpuUsage();
  const from = performance.now();
  await sleep(deployment.clock, IDLE_MILLISECONDS);
  const seconds = (performance.now() - from) / 1000;
  const {user, system} = process.cpuUsage(processor);
  const bytes = traffic.bytes - before;
  await deployment.stop();
  traffic.stop();
  return {
    bytes: bytes / seconds / entries.length,
    core: (user + system) / MICROSECONDS_IN_SECOND / seconds / entries.length,
  };
});

/** Measurements of network traffic. */
export const WIRE_MEASUREMENTS: readonly Measurement[] = [
  {
    name: MeasuredLine.ReadTraffic,
    unit: Unit.Bytes,
    per: `record of ${RECORD_BYTES} bytes`,
    sizes: RECORDS,
    measure: readBytes,
  },
  {
    name: MeasuredLine.LinkTraffic,
    unit: Unit.BytesPerSecond,
    per: 'link',
    sizes: LINKS,
    measure: async links => (await measureIdleDaemon(links)).bytes,
  },
  {
    name: MeasuredLine.LinkProcessor,
    unit: Unit.CoreShare,
    per: 'link',
    sizes: LINKS,
    measure: async links => (await measureIdleDaemon(links)).core,
  },
];

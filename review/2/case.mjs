// An entry of another writer, whose bytes can't all be read, appears among the entries of the
// workers. It names no worker to use; the other entries hold. Without it (TROUBLE=0), the same jobs
// are done.
import {jobId, jobsLeftWaiting, runCase} from '../stand-ins/deployment.mjs';
import {pause} from '../stand-ins/store.mjs';

const hasTrouble = process.env.TROUBLE !== '0';
const JOBS = 6;
const FAULT_ENDS = 3;
const FAULT_MACHINES = 2;
const STEPS = [{count: 3, cpu: 1_000, mem_mb: 500, estimated_ms: 800}];

/** An entry like the others, with bytes in its address that are not UTF-8. */
function unreadableEntry(fleet) {
  const [worker] = fleet.readyWorkers('preview');
  const entry = Buffer.from(JSON.stringify(worker.entry()));
  entry.fill(
    0xff,
    entry.indexOf(worker.address),
    entry.indexOf(worker.address) + 3,
  );
  return entry;
}

await runCase(
  new URL('record.txt', import.meta.url).pathname,
  {
    pools: {
      preview: Array(6).fill(['a']),
      logo: Array(8).fill(['a']),
      spare: Array(6).fill(['a']),
    },
    standby: 'spare',
  },
  async deployment => {
    const {fleet, record, store} = deployment;
    await deployment.start({preview: 'preview', logo: 'logo'});
    if (hasTrouble) {
      record('another writer: an entry whose address is not UTF-8');
      store.write('keyed.servers', 'other-writer', unreadableEntry(fleet));
    }
    await pause(2_000);
    const accepted = {preview: [], logo: []};
    for (let number = 0; number < JOBS; number++)
      for (const route of ['preview', 'logo']) {
        const id = jobId(2 * number + (route === 'logo' ? 1 : 0));
        const status = await deployment.submit(route, id, STEPS);
        if (status === 200) accepted[route].push(id);
      }
    const left = await Promise.all(
      Object.entries(accepted).map(([service, ids]) =>
        jobsLeftWaiting(deployment, service, ids),
      ),
    );
    for (const [route, ids] of Object.entries(accepted))
      for (const id of ids) await deployment.stateOf(route, id);
    const ended = deployment.daemons.filter(
      ({exits = 0}) => exits >= FAULT_ENDS,
    );
    return [
      ...left
        .flat()
        .map(id => `LOST: job ${id} was accepted and is left waiting`),
      ...(ended.length >= FAULT_MACHINES
        ? [`Fault: ${ended.length} processes ended by themselves three times`]
        : []),
    ];
  },
);

// Twelve jobs that last need the one worker with a label. It is lost for good, and they wait. All
// other jobs of the service need nothing of that worker. Without the loss (TROUBLE=0) they are done.
import {jobId, jobsLeftWaiting, runCase} from '../stand-ins/deployment.mjs';
import {pause} from '../stand-ins/store.mjs';

const hasTrouble = process.env.TROUBLE !== '0';
const LASTING_JOBS = 12;
const JOBS = 10;
const LASTING_STEPS = [
  {
    count: 1,
    cpu: 1_000,
    mem_mb: 500,
    estimated_ms: 500,
    long_running: true,
    requirements: 'b',
  },
];
const STEPS = [{count: 3, cpu: 1_000, mem_mb: 500, estimated_ms: 800}];

await runCase(
  new URL('record.txt', import.meta.url).pathname,
  {
    pools: {
      preview: [['b'], ...Array(7).fill(['a'])],
      logo: Array(8).fill(['a']),
      spare: Array(8).fill(['a']),
    },
    standby: 'spare',
  },
  async deployment => {
    const {fleet, record} = deployment;
    await deployment.start({preview: 'preview', logo: 'logo'});
    for (let number = 0; number < LASTING_JOBS; number++)
      await deployment.submit('preview', jobId(number), LASTING_STEPS);
    await pause(4_000);
    const lasting = Array.from({length: LASTING_JOBS}, (_, number) =>
      jobId(number),
    );
    if (!lasting.every(id => fleet.isRunning(id)))
      throw new Error('the jobs that last do not run');
    if (hasTrouble) fleet.crash(fleet.machines.get('m-preview-0'));
    await pause(5_000);
    const accepted = [];
    for (let number = 100; number < 100 + JOBS; number++) {
      const status = await deployment.submit('preview', jobId(number), STEPS);
      if (status === 200) accepted.push(jobId(number));
      await pause(300);
    }
    const left = await jobsLeftWaiting(deployment, 'preview', accepted);
    for (const id of accepted) await deployment.stateOf('preview', id);
    return left.map(id => `LOST: job ${id} was accepted and is left waiting`);
  },
);

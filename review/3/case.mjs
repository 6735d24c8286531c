// The one worker that a lasting job may use goes down and up by turns for some seconds. No run of
// the job ends as failed. Without that (TROUBLE=0) the job goes on.
import {jobId, runCase} from '../stand-ins/deployment.mjs';
import {pause} from '../stand-ins/store.mjs';

const hasTrouble = process.env.TROUBLE !== '0';
/** As in the site files: `gap_s` and `for_s` of `srv_flap`. */
const PERIOD_MS = 1_400;
const FLAPPING_MS = 6_500;
const WATCHED_SECONDS = 25;
const STEPS = [
  {
    count: 1,
    cpu: 1_000,
    mem_mb: 500,
    estimated_ms: 500,
    long_running: true,
    requirements: 'b',
  },
];

async function flap(fleet, machine) {
  const until = performance.now() + FLAPPING_MS;
  while (performance.now() < until) {
    fleet.crash(machine);
    await pause(PERIOD_MS / 2);
    await fleet.begin(machine);
    await pause(PERIOD_MS / 2);
  }
}

await runCase(
  new URL('record.txt', import.meta.url).pathname,
  {
    pools: {
      preview: [['b'], ...Array(10).fill(['a'])],
      spare: Array(6).fill(['a']),
    },
    standby: 'spare',
  },
  async deployment => {
    const {fleet, record} = deployment;
    await deployment.start({preview: 'preview'});
    const id = jobId(0);
    if ((await deployment.submit('preview', id, STEPS)) !== 200)
      throw new Error('the job was not accepted');
    await pause(4_000);
    if (!fleet.isRunning(id)) throw new Error('the job does not run');
    if (hasTrouble) await flap(fleet, fleet.machines.get('m-preview-0'));
    let state;
    for (let second = 0; second < WATCHED_SECONDS; second++) {
      await pause(1_000);
      state = await deployment.stateOf('preview', id);
      if (state === 'failed') break;
    }
    record(`${fleet.failedEnds} runs ended as failed`);
    if (fleet.failedEnds > 0) throw new Error('a run ended as failed');
    return state === 'running' || state === 'queued'
      ? []
      : [
          `LOST: job ${id} is shown as ${state}, and no run of it ended as failed`,
        ];
  },
);

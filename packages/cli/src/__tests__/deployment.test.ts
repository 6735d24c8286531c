import assert from 'node:assert/strict';
import {after, before, beforeEach, describe, it} from 'node:test';
import {LogStream} from '@gentiandoor/coordinator';
import {
  JobRecordKind,
  JobState,
  PLAIN_STEP,
  encodeJobRecord,
} from '@gentiandoor/jobs';
import {RunEnd} from '@gentiandoor/jobs';
import {StandInPlatform} from '@gentiandoor/platform/stand-ins';
import {ExitCode} from '../exit-codes.js';
import {processContext} from '../process-context.js';
import {runProgram} from '../program.js';

const RESOURCES = {
  processorMillicores: 1_000,
  memoryMegabytes: 100,
  accelerators: 0,
};
const JOB_ID = '00000000000000aa';

describe('deployment commands', () => {
  const platform = new StandInPlatform({
    services: ['previews'],
    standbyService: 'spare',
    workersPerService: 1,
    capacity: RESOURCES,
    behaviourOf: () => ({
      durationMilliseconds: 1,
      end: RunEnd.Done,
      resources: RESOURCES,
    }),
  });
  let printed: string[] = [];
  let diagnostics: string[] = [];

  before(async () => {
    await platform.start();
    platform.store.write(
      LogStream.Jobs,
      encodeJobRecord({
        kind: JobRecordKind.Submission,
        job: {
          id: JOB_ID,
          queue: 'queue-previews',
          service: 'previews',
          organisation: 'advisers',
          payload: '',
          steps: [PLAIN_STEP],
          submittedAtMilliseconds: 0,
        },
      }),
    );
    platform.store.write(
      LogStream.Jobs,
      encodeJobRecord({
        kind: JobRecordKind.Progress,
        jobId: JOB_ID,
        progress: {
          state: JobState.Running,
          tasks: new Map([
            [
              '0.0.0',
              {
                run: 2,
                done: false,
                failedRuns: [1],
                crashes: {total: 1, atStart: 1},
                preemptions: 0,
                isStartExecuted: false,
                orderedInTerm: undefined,
                checkpoint: '',
                worker: 'w-7',
              },
            ],
          ]),
        },
      }),
    );
    // An unreadable record of another writer: it is counted, and the rest is still shown.
    platform.store.write(LogStream.Jobs, {
      key: 'p/00000000000000bb',
      value: Buffer.from('{'),
    });
  });
  after(() => platform.stop());
  beforeEach(() => {
    printed = [];
    diagnostics = [];
  });

  function run(...args: string[]): Promise<ExitCode> {
    return runProgram(['node', 'gentiandoor', ...args], {
      ...processContext(),
      print: line => printed.push(line),
      printDiagnostic: line => diagnostics.push(line),
    });
  }

  it('show queues and pools without a daemon', async () => {
    const code = await run(
      'deployment',
      'show',
      '--store',
      platform.storeAddress,
      '--json',
    );
    assert.equal(code, ExitCode.Done, diagnostics.join('\n'));
    const output = JSON.parse(printed[0]) as {
      summary: {coordinator: string; unreadable: number};
      queues: Array<{queue: string; running: number}>;
      pools: Array<{service: string; ready: number}>;
    };
    assert.equal(output.summary.coordinator, 'none');
    assert.equal(output.summary.unreadable, 1);
    assert.equal(output.queues[0].running, 1);
    assert.deepEqual(
      output.pools.map(pool => [pool.service, pool.ready]),
      [
        ['previews', 1],
        ['spare', 1],
      ],
    );
  });

  it('show the running cores of organisations and their limits', async () => {
    platform.organisations = [
      {name: 'advisers', keys: ['a', 'b'], weight: 3, limitMillicores: 4_000},
      {name: 'auditors', keys: []},
    ];
    platform.publishConfiguration(2);
    const code = await run(
      'deployment',
      'show',
      '--store',
      platform.storeAddress,
    );
    assert.equal(code, ExitCode.Done, diagnostics.join('\n'));
    const text = printed.join('\n');
    assert.match(text, /organisation +keys +weight +cores +limit +queued/);
    assert.match(text, /advisers +2 +3 +1 +4 +0/);
    assert.match(text, /auditors +0 +1 +0 +none +0/);
  });

  describe('for the work by queue and organisation', () => {
    const log = `
{"level":30,"time":1800000000000,"node":"front-a-1","event":1901,"job":"00000000000000cc","queue":"queue-previews","organisation":"auditors","answer":"taken","milliseconds":6,"msg":"JobTaken"}
{"level":40,"time":1800000000100,"node":"front-a-1","event":1902,"job":"00000000000000dd","queue":"queue-previews","organisation":"auditors","answer":"overloaded","reason":"beyond_entitlement","reportTerm":3,"reportSequence":17,"reportAgeMilliseconds":240,"waitMilliseconds":4210,"retryAfterSeconds":3,"milliseconds":0,"msg":"JobRefused"}
{"level":40,"time":1800000000200,"node":"front-b-1","event":1902,"job":"00000000000000dd","queue":"queue-previews","organisation":"auditors","answer":"overloaded","milliseconds":0,"msg":"JobRefused"}
{"level":40,"time":1800000000300,"node":"front-b-1","event":1902,"job":"00000000000000ee","queue":"queue-previews","organisation":"auditors","answer":"unknown","milliseconds":3000,"msg":"JobRefused"}
{"level":30,"time":1800000000400,"node":"front-a-1","event":1981,"task":"${JOB_ID}.0.0.0","worker":"w-7","job":"00000000000000ff","reason":"late","lostMillicoreMilliseconds":340000,"msg":"RunPreempted"}
{"level":30,"time":1800000000500,"node":"front-a-1","event":1981,"task":"00000000000000cc.0.0.0","msg":"RunPreempted"}
{"level":30,"time":1800000000600,"node":"front-a-1","event":9999,"organisation":"auditors","msg":"OfALaterVersion"}
{"level":30,"time":1800000000700,"node":"front-a-1","event":1981,"task":"00000000000000ab.0.0.0","job":17,"lostMillicoreMilliseconds":"many","msg":"RunPreempted"}
`;

    async function show(...args: string[]): Promise<string> {
      const code = await runProgram(
        [
          'node',
          'gentiandoor',
          'deployment',
          'show',
          '--store',
          platform.storeAddress,
          ...args,
        ],
        {
          ...processContext(),
          print: line => printed.push(line),
          printDiagnostic: line => diagnostics.push(line),
          readFile: () => log,
        },
      );
      assert.equal(code, ExitCode.Done, diagnostics.join('\n'));
      return printed.join('\n');
    }

    // Guards against a figure that only the log has being shown as 0 without a log.
    it('shows weight, limit, use and waiting from the store alone', async () => {
      assert.match(
        await show(),
        /queue-previews +advisers +3 +4 +1 +0 +0 +- +- +- +-$/m,
      );
    });

    // Guards against an organisation whose jobs are all refused having no row, and against
    // submissions in doubt, missing fields or unknown events being counted as refusals.
    it('adds refusals by reason and preemptions from the log', async () => {
      const text = await show('--log', 'day.log');
      assert.match(
        text,
        /queue-previews +advisers +3 +4 +1 +0 +0 +1 +340 +0 +-$/m,
      );
      assert.match(
        text,
        /queue-previews +auditors +1 +none +0 +0 +- +1 +0 +2 +1 overloaded: beyond_entitlement, 1 overloaded$/m,
      );
      assert.match(text, /^\? +- +- +none +0 +0 +- +1 +0 +0 +-$/m);
    });
  });

  it('show the runs of a job', async () => {
    const code = await run(
      'deployment',
      'job',
      JOB_ID,
      '--store',
      platform.storeAddress,
    );
    assert.equal(code, ExitCode.Done, diagnostics.join('\n'));
    assert.match(printed.join('\n'), /0\.0\.0 +2 +running +w-7 +1/);
  });

  it('fail without a store address and with an unreachable store', async () => {
    assert.equal(await run('deployment', 'show'), ExitCode.BadInput);
    assert.match(diagnostics[0], /--store/);
    const unreachable = await run(
      'deployment',
      'show',
      '--store',
      '127.0.0.1:1',
    );
    assert.equal(unreachable, ExitCode.Unreachable);
  });
});

import type {SeededRandom} from '@gentiandoor/kernel';
import {
  QUEUE_HOST,
  type StandInPlatform,
} from '@gentiandoor/platform/stand-ins';
import {request} from 'undici';

const UNREADABLE_ENTRIES = [
  Buffer.alloc(0),
  Buffer.from([0xff, 0, 0xfe]),
  Buffer.from('null'),
  Buffer.from('{"service":"previews","address":"\xff\xff:1","state":"ready"}'),
  Buffer.from('{"service":{},"address":[],"capacity":{"cpu":"many"}}'),
];
const UNREADABLE_ANSWERS = [
  '',
  'null',
  '[[]]',
  '{"clock_ms":1,"reason":{"toString":1}}',
  '{"clock_ms":1,"reason":"constructor"}',
  '{"clock_ms":1,"running":[null],"ended_runs":[{}]}',
];
const UNSERVABLE_JOBS = [
  {count: 12, cpu: 1_000, requirements: 'missing', long_running: true},
  {count: 40, cpu: 1e9, mem_mb: 1e9, estimated_ms: 1e9},
  {count: 20, cpu: 16_000, gpu: 1, long_running: true},
  {count: 1, image: 'x'.repeat(90_000)},
];
const JOBS_AT_ONCE = 12;
const ANSWERS_MILLISECONDS = 2_500;
const DRAIN_MILLISECONDS = 3_000;
const SUBMISSION_TIMEOUT_MILLISECONDS = 3_000;
const KIND_COUNT = 4;

/**
 * Brings elements into a deployment of which each concerns one owner and may concern no other:
 * entries of other writers, answers of one worker, jobs that can't be done, workers that leave.
 */
export class OddElements {
  private jobs = 0;

  constructor(
    private readonly platform: StandInPlatform,
    private readonly services: readonly string[],
    private readonly random: SeededRandom,
  ) {}

  /** Brings one in; `callers` is the address of a daemon. Returns what it was. */
  inject(callers: string): string {
    switch (this.random.nextInteger(KIND_COUNT)) {
      case 0:
        for (const [index, entry] of UNREADABLE_ENTRIES.entries())
          this.platform.writeEntryOf(`stranger-${index}`, entry);
        return 'entries of other writers';
      case 1: {
        const {id} = this.pick(this.platform.liveWorkers());
        const answer = this.pick(UNREADABLE_ANSWERS);
        this.platform.setWorkerAnswer(id, answer);
        setTimeout(
          () => this.platform.setWorkerAnswer(id, undefined),
          ANSWERS_MILLISECONDS,
        );
        return `${id} answers ${answer}`;
      }
      case 2: {
        const {id} = this.pick(this.platform.liveWorkers());
        this.platform.drain(id, DRAIN_MILLISECONDS);
        return `${id} drains`;
      }
      default: {
        const step = this.pick(UNSERVABLE_JOBS);
        const service = this.pick(this.services);
        for (let count = 0; count < JOBS_AT_ONCE; count++)
          void this.submit(callers, service, step);
        return `${service}: jobs of ${JSON.stringify(step).slice(0, 60)}`;
      }
    }
  }

  /** Their outcome is not checked: what counts is what happens to all others. */
  private async submit(
    callers: string,
    service: string,
    step: object,
  ): Promise<void> {
    const id = (++this.jobs).toString(16).padStart(16, 'f');
    try {
      const response = await request(`http://${callers}/${service}/${id}`, {
        method: 'POST',
        headers: {host: QUEUE_HOST},
        body: JSON.stringify({spec: 'odd', steps: [step, step, step]}),
        signal: AbortSignal.timeout(SUBMISSION_TIMEOUT_MILLISECONDS),
      });
      await response.body.dump();
    } catch {
      // The daemon may be down.
    }
  }

  private pick<Item>(items: readonly Item[]): Item {
    return items[this.random.nextInteger(items.length)];
  }
}

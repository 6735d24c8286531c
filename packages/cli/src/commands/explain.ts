import type {ExplainBody, VmBody} from '@gentiandoor/plugin-fleet';
import {SubjectKind, type JournalEntry} from '@gentiandoor/kernel';
import {CommandError} from '../command-error.js';
import type {CommandDefinition} from '../command-registry.js';
import {ExitCode} from '../exit-codes.js';
import {
  buildJobTimeline,
  parseLogLines,
  type JobTimeline,
  type TimelineEntry,
} from '../job-timeline.js';
import {vmState} from '../vm-state.js';
import {buildWorkerHistory, type WorkerHistory} from '../worker-history.js';
import {
  adminClient,
  readInput,
  printResult,
  type CommandContext,
  type CommonOptions,
} from '../command-context.js';

interface ExplainOptions extends CommonOptions {
  readonly log?: string;
}

async function explain(
  context: CommandContext,
  subject: string,
  id: string,
  options: ExplainOptions,
): Promise<void> {
  if (options.log !== undefined) {
    explainFromLog(context, subject, id, options, options.log);
    return;
  }
  const query = `subject=${encodeURIComponent(subject)}&id=${encodeURIComponent(id)}`;
  const body = (await adminClient(context, options).get(
    `/explain?${query}`,
  )) as ExplainBody;
  const now =
    subject === SubjectKind.Vm
      ? await currentVmState(context, options, id)
      : [];
  const lines = [...now, ...body.decisions.flatMap(formatDecision)];
  const noDecisionText = `this daemon took no decision about ${subject} ${id}; the planner is ${body.planner || 'not known'}, ask its admin port`;
  printResult(
    context,
    options,
    body,
    lines.length > 0 ? lines : [noDecisionText],
  );
}

/** Subject that only logs explain, since no daemon keeps decisions about it. */
const WORKER_SUBJECT = 'worker';

/** Prints what the logs of the daemons of a deployment on the platform tell of a job or worker. */
function explainFromLog(
  context: CommandContext,
  subject: string,
  id: string,
  options: ExplainOptions,
  path: string,
): void {
  if (subject === WORKER_SUBJECT) {
    const {lines} = parseLogLines(readInput(context, path));
    const history = buildWorkerHistory(lines, id);
    if (!history) throw noLineError(path, id);
    printResult(context, options, history, formatHistory(history));
    return;
  }
  if (subject !== SubjectKind.Job)
    throw new CommandError(
      ExitCode.BadInput,
      `logs explain a ${SubjectKind.Job} or ${WORKER_SUBJECT} only, not a ${subject}`,
    );
  const timeline = buildJobTimeline(readInput(context, path), id);
  if (!timeline) throw noLineError(path, id);
  printResult(context, options, timeline, formatTimeline(timeline));
}

function noLineError(path: string, id: string): CommandError {
  return new CommandError(ExitCode.Failed, `no line in ${path} names ${id}`);
}

function formatHistory(history: WorkerHistory): string[] {
  const {worker, incarnations, ends, crashedTasks, steps} = history;
  const lines = [
    ...formatSteps(steps),
    '',
    `incarnations of worker ${worker} in the log: ${incarnations.length}`,
    ...Object.entries(ends).map(([reason, count]) => `    ${count} ${reason}`),
  ];
  if (crashedTasks.length > 0)
    lines.push('', 'tasks that ran when it crashed, and their other crashes:');
  for (const {task, crashesHere, crashesElsewhere} of crashedTasks)
    lines.push(
      `    ${task}: ${crashesHere} here, ${crashesElsewhere} on other workers`,
    );
  if (history.linesLeftOut > 0)
    lines.push(
      '',
      `${history.linesLeftOut} lines were left out by the bound on the log; some may be of this worker`,
    );
  return lines;
}

function formatSteps(steps: readonly TimelineEntry[]): string[] {
  return steps.map(
    ({time, node, text}) =>
      `${new Date(time).toISOString()} +${time - steps[0].time} ms ${node}: ${text}`,
  );
}

function formatTimeline(timeline: JobTimeline): string[] {
  const {steps, gaps, linesLeftOut, unreadableLines} = timeline;
  const lines = formatSteps(steps);
  if (gaps.length > 0) lines.push('', 'longest times without news of the job:');
  for (const {milliseconds, text} of gaps)
    lines.push(`    ${milliseconds} ms ${text}`);
  if (linesLeftOut > 0)
    lines.push(
      '',
      `${linesLeftOut} lines were left out meanwhile by the bound on the log; some may be of this job`,
    );
  if (unreadableLines > 0)
    lines.push('', `${unreadableLines} lines of the input are no log lines`);
  return lines;
}

/** Returns the VM's planned work, which may come from an operator and not from a daemon. */
async function currentVmState(
  context: CommandContext,
  options: CommonOptions,
  id: string,
): Promise<string[]> {
  const client = adminClient(context, options);
  const vms = (await client.get(
    `/fleet/vms?id=${encodeURIComponent(id)}`,
  )) as VmBody[];
  return vms.map(vm => `now: pool ${vm.pool}, ${vm.condition}, ${vmState(vm)}`);
}

function formatDecision(entry: JournalEntry): string[] {
  const evidence = Object.entries(entry.evidence).map(
    ([name, value]) => `${name}=${value}`,
  );
  const turnedDown = (entry.turnedDown ?? []).map(
    ({choice, because}) => `    turned down: ${choice}, because ${because}`,
  );
  return [
    `${new Date(entry.at).toISOString()} ${entry.decision}`,
    `    cause: ${entry.cause}`,
    `    rule: ${entry.rule}`,
    `    evidence: ${evidence.join(', ') || 'none'}`,
    ...turnedDown,
  ];
}

/** Commands that explain decisions and jobs. */
export const explainCommands: readonly CommandDefinition[] = [
  {
    usage: 'explain <subject> <id>',
    description:
      'Tells why something was decided about a vm, pool, service, job, wave, request, bundle or daemon; with --log, what became of a job or worker.',
    examples: [
      'explain vm hall-a-r1-1',
      'explain wave december --json',
      'explain job 5c0e7a21d94b36f8 --log day.log',
      'explain worker i-b0a2ce4477 --log day.log',
    ],
    options: [
      [
        '--log',
        'Log lines of the daemons of a deployment on the platform, a file or - for standard input; tells of a job or worker without any daemon',
      ],
    ],
    run: explain,
  },
];

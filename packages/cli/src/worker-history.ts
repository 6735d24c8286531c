import {LogEvent, groupBy} from '@gentiandoor/kernel';
import {
  countDroppedLines,
  workerEventText,
  type LogLine,
  type TimelineEntry,
} from './job-timeline.js';

/** A task under which the worker crashed. */
export interface CrashedTask {
  readonly task: string;
  /** Number of its runs that crashed with this worker. */
  readonly crashesHere: number;
  /** Number of its runs that crashed with other workers. */
  readonly crashesElsewhere: number;
}

/** Restarts of one worker and what ran on it when it crashed, from the logs of all daemons. */
export interface WorkerHistory {
  readonly worker: string;
  /** Incarnation ids in order of their first line. */
  readonly incarnations: readonly string[];
  /** Number of ends of incarnations by reason. */
  readonly ends: Readonly<Record<string, number>>;
  readonly crashedTasks: readonly CrashedTask[];
  /** Events of the worker, oldest first. */
  readonly steps: readonly TimelineEntry[];
  readonly linesLeftOut: number;
}

/** Run ends that may be the cause or the result of a restart. */
const NOTABLE_RUN_ENDS: ReadonlySet<unknown> = new Set([
  'crashed',
  'failed',
  'lost',
]);

/**
 * Builds the history of a worker from log lines, ordered oldest first; `worker` is its own id or
 * that of one of its incarnations. Undefined if no line names the worker.
 */
export function buildWorkerHistory(
  lines: readonly LogLine[],
  worker: string,
): WorkerHistory | undefined {
  const instance = instanceOf(worker);
  const ownLines = lines.filter(
    ({fields}) =>
      typeof fields.worker === 'string' &&
      instanceOf(fields.worker) === instance,
  );
  if (ownLines.length === 0) return undefined;
  return {
    worker: instance,
    incarnations: [
      ...new Set(ownLines.map(({fields}) => String(fields.worker))),
    ],
    ends: endsByReason(ownLines),
    crashedTasks: crashedTasks(lines, instance),
    steps: ownLines.flatMap(line => {
      const text = textOf(line);
      return text === undefined
        ? []
        : [{time: line.time, node: line.node, text}];
    }),
    linesLeftOut: countDroppedLines(lines),
  };
}

/** Returns the worker's own id of an incarnation id, which has the form `ID@BORN` or `ID`. */
function instanceOf(incarnation: string): string {
  return incarnation.split('@')[0];
}

function endsByReason(lines: readonly LogLine[]): Record<string, number> {
  const ends = lines.filter(({event}) => event === LogEvent.WorkerLeft);
  const groups = groupBy(ends, ({fields}) => {
    const reason = String(fields.reason ?? '?');
    return fields.hasCrashed === true ? `crashed: ${reason}` : reason;
  });
  return Object.fromEntries(
    [...groups].map(([reason, members]) => [reason, members.length]),
  );
}

/** Returns the tasks under which the worker crashed, those with the most crashes first. */
function crashedTasks(
  lines: readonly LogLine[],
  instance: string,
): CrashedTask[] {
  const crashes = lines.filter(
    ({event, fields}) =>
      event === LogEvent.RunEnded && fields.end === 'crashed',
  );
  return [...groupBy(crashes, ({fields}) => String(fields.task))]
    .map(([task, members]) => {
      const crashesHere = members.filter(
        ({fields}) => instanceOf(String(fields.worker)) === instance,
      ).length;
      return {
        task,
        crashesHere,
        crashesElsewhere: members.length - crashesHere,
      };
    })
    .filter(({crashesHere}) => crashesHere > 0)
    .sort(
      (one, other) =>
        other.crashesHere +
        other.crashesElsewhere -
        one.crashesHere -
        one.crashesElsewhere,
    );
}

function textOf(line: LogLine): string | undefined {
  const {event, fields} = line;
  const run = `${String(fields.task)} run ${String(fields.run)}`;
  switch (event) {
    case LogEvent.WorkerFound:
      return `worker ${String(fields.worker)} found at ${String(fields.address ?? '?')}`;
    case LogEvent.RunEnded:
      return NOTABLE_RUN_ENDS.has(fields.end)
        ? `task ${run}: ${String(fields.end)}`
        : undefined;
    case LogEvent.TaskGivenUp:
      return `task ${run} given up after ${String(fields.crashes ?? '?')} crashes`;
    default:
      return workerEventText(line);
  }
}

import type {z} from 'zod';
import {ALL_COMMANDS, ExitCode} from '@gentiandoor/cli';
import {allPlugins, daemonOptions} from '@gentiandoor/daemon';
import {
  ERROR_RESPONSES,
  ErrorKind,
  LOG_EVENT_CATALOGUE,
  LogEvent,
  METRIC_CATALOGUE,
  MetricName,
} from '@gentiandoor/kernel';
import {RejectionReason} from '@gentiandoor/shared-state';
import {describeOption} from './describe-option.js';
import {markdownTable} from './markdown-table.js';

/** A part of a page in docs/ that is generated from the code. */
export interface ReferencePart {
  /** File name in docs/. */
  readonly page: string;
  /** Name of the part, used in the two marker comments around it. */
  readonly name: string;
  readonly text: string;
}

/** Returns all generated parts. */
export function referenceParts(): ReferencePart[] {
  return [
    {page: 'errors.md', name: 'errors', text: errorTable()},
    {page: 'errors.md', name: 'rejections', text: rejectionList()},
    {page: 'log-events.md', name: 'log-events', text: logEventTable()},
    {page: 'metrics.md', name: 'metrics', text: metricTable()},
    {page: 'settings.md', name: 'settings', text: settingsSections()},
    {page: 'command-line.md', name: 'commands', text: commandSections()},
    {page: 'command-line.md', name: 'exit-codes', text: exitCodeTable()},
  ];
}

function errorTable(): string {
  const rows = Object.values(ErrorKind).map(kind => {
    const {status, run, retryAfterSeconds, advice} = ERROR_RESPONSES[kind];
    const retry =
      retryAfterSeconds === undefined ? 'no' : `after ${retryAfterSeconds} s`;
    return [
      `\`${kind}\``,
      String(status),
      run,
      retry,
      advice,
      `\`refusals{reason=${kind}}\``,
    ];
  });
  return markdownTable(
    ['kind', 'status', 'run', 'retry', 'what the caller is told', 'counter'],
    rows,
  );
}

function rejectionList(): string {
  return Object.values(RejectionReason)
    .map(reason => `- \`${reason}\``)
    .join('\n');
}

function logEventTable(): string {
  const events = Object.values(LogEvent).filter(
    value => typeof value === 'number',
  );
  const rows = events.map(event => {
    const {meaning, action} = LOG_EVENT_CATALOGUE[event];
    return [String(event), LogEvent[event], meaning, action];
  });
  return markdownTable(['number', 'name', 'meaning', 'what to do'], rows);
}

function metricTable(): string {
  const rows = Object.values(MetricName).map(name => {
    const {type, tags, meaning} = METRIC_CATALOGUE[name];
    return [`\`gentiandoor.${name}\``, type, tags.join(', ') || '-', meaning];
  });
  return markdownTable(['metric', 'type', 'tags', 'meaning'], rows);
}

function settingsSections(): string {
  const sections = [
    {name: 'daemon', options: daemonOptions as z.ZodType},
    ...allPlugins().all(),
  ];
  return sections
    .map(({name, options}) => {
      const shape = objectOf(options).shape as Record<string, z.ZodType>;
      const rows = Object.entries(shape).map(([key, schema]) =>
        describeOption(key, schema),
      );
      const table = markdownTable(['key', 'default', 'meaning'], rows);
      return rows.length > 0
        ? `### [${name}]\n\n${table}`
        : `### [${name}]\n\nNo keys.`;
    })
    .join('\n\n');
}

/** Returns the object schema inside refinements and transforms. */
function objectOf(schema: z.ZodType): z.ZodObject {
  if ('shape' in schema) return schema as z.ZodObject;
  const {in: inner} = schema.def as unknown as {in?: z.ZodType};
  if (!inner) throw new Error('options of a plug-in must be an object');
  return objectOf(inner);
}

function commandSections(): string {
  return ALL_COMMANDS.map(({usage, description, examples, options}) =>
    [
      `### gentiandoor ${usage}`,
      '',
      description,
      ...(options ?? []).map(([flag, text]) => `\n- \`${flag}\`: ${text}`),
      '',
      '```',
      ...examples.map(example => `gentiandoor ${example}`),
      '```',
    ].join('\n'),
  ).join('\n\n');
}

const EXIT_CODE_MEANINGS: Readonly<Record<ExitCode, string>> = {
  [ExitCode.Done]: 'done',
  [ExitCode.Failed]: 'failed; the message says what to do next',
  [ExitCode.BadInput]: 'wrong arguments, key or input file; nothing was sent',
  [ExitCode.Refused]:
    'the record was judged and rejected; the message gives the reason',
  [ExitCode.Unreachable]:
    'the daemon or the platform\u2019s log could not be reached',
};

function exitCodeTable(): string {
  const codes = Object.values(ExitCode).filter(
    value => typeof value === 'number',
  );
  return markdownTable(
    ['code', 'meaning'],
    codes.map(code => [String(code), EXIT_CODE_MEANINGS[code]]),
  );
}

type Fields = Readonly<Record<string, unknown>>;

/** Texts for the response to a submission that was not accepted. */
const ANSWER_TEXTS: Readonly<Record<string, string>> = {
  refused: 'refused: the store had done nothing, the job never runs',
  unknown: 'answered as in doubt: the store may have taken it',
  over_limit:
    'refused: it needs more at once than the limit of its organisation allows',
  id_in_use: 'refused: its id is that of another job',
  overloaded:
    'refused by admission control, nothing stored for this submission',
};

/** Texts for the rules of admission control. */
const RULE_TEXTS: Readonly<Record<string, string>> = {
  not_in_time:
    'even by the optimistic estimate it ends after three times its objective',
  beyond_entitlement:
    'its organisation is beyond its entitlement, and even by the optimistic estimate it is late',
};

/** Fields with a text of their own, and those of every log line. */
const DESCRIBED_FIELDS: ReadonlySet<string> = new Set([
  'level',
  'time',
  'node',
  'event',
  'msg',
  'pid',
  'hostname',
  'job',
  'queue',
  'organisation',
  'answer',
  'milliseconds',
  'reason',
  'reportTerm',
  'reportSequence',
  'reportAgeMilliseconds',
  'waitMilliseconds',
  'retryAfterSeconds',
]);

/** Returns what a submission that was not accepted was answered. */
export function answerText(answer: string): string {
  return ANSWER_TEXTS[answer] ?? answer;
}

/**
 * Returns the rule that refused a submission, the report it is based on and the figures, as far as
 * the log line names them; an empty text if it names none.
 */
export function refusalBasisText(fields: Fields): string {
  return [
    ruleText(fields),
    numberText(fields, 'waitMilliseconds', ms => `expected wait ${ms} ms`),
    reportText(fields),
    numberText(fields, 'retryAfterSeconds', s => `told to retry after ${s} s`),
    otherFigures(fields),
  ]
    .flatMap(text => (text === undefined ? [] : [`; ${text}`]))
    .join('');
}

function ruleText({reason}: Fields): string | undefined {
  if (typeof reason !== 'string') return undefined;
  const text = RULE_TEXTS[reason];
  return text === undefined ? `rule ${reason}` : `rule ${reason}: ${text}`;
}

function reportText(fields: Fields): string | undefined {
  const parts = [
    numberText(fields, 'reportTerm', term => `term ${term}`),
    numberText(fields, 'reportSequence', sequence => `sequence ${sequence}`),
    numberText(fields, 'reportAgeMilliseconds', age => `age ${age} ms`),
  ].filter(part => part !== undefined);
  return parts.length > 0
    ? `by the pressure report of ${parts.join(', ')}`
    : undefined;
}

/** Returns the remaining figures as the admission policy logged them. */
function otherFigures(fields: Fields): string | undefined {
  const figures = Object.entries(fields).flatMap(([name, value]) =>
    !DESCRIBED_FIELDS.has(name) &&
    (typeof value === 'number' || typeof value === 'string')
      ? [`${name}=${value}`]
      : [],
  );
  return figures.length > 0 ? `figures: ${figures.join(', ')}` : undefined;
}

function numberText(
  fields: Fields,
  name: string,
  textOf: (value: number) => string,
): string | undefined {
  const value = fields[name];
  return typeof value === 'number' && Number.isFinite(value)
    ? textOf(Math.round(value))
    : undefined;
}

import {parse} from 'ini';
import type {z} from 'zod';
import {BundleError, rejectDoubles, toError} from '@gentiandoor/kernel';
import type {Bundle, CostWeights} from './bundle.js';
import {checkBundle} from './bundle-checks.js';
import {
  NAME,
  NAMED_SECTIONS,
  NamedSection,
  SINGLE_SECTIONS,
  SingleSection,
  type BundleHead,
} from './bundle-sections.js';
import {
  splitSections,
  type ParsedBundle,
  type ParsedSection,
  type TextSection,
} from './bundle-text.js';

export {expandRange} from './bundle-sections.js';

/**
 * Line ends that some readers see and others do not: a reviewer would sign off one text and
 * the fold would read another.
 */
const STRAY_LINE_END = /\r(?!\n)|\u2028|\u2029/;
/** Problems listed of one bundle; more do not help its author. */
const MOST_PROBLEMS = 50;
/** Sections read in one slice: under a millisecond of the event loop. */
const SECTIONS_OF_A_SLICE = 50;
const SINGLE: ReadonlySet<string> = new Set(Object.values(SingleSection));
const NAMED: ReadonlySet<string> = new Set(Object.values(NamedSection));

/** Reads a bundle from INI text; throws `BundleError` listing the problems found. */
export function parseBundle(text: string): Bundle {
  return parseSections(text).bundle;
}

/**
 * Reads a bundle section by section. Sections that stand in `base` with the same text are
 * taken over: a change costs what it changes, not 31,000 VMs.
 */
export function parseSections(text: string, base?: ParsedBundle): ParsedBundle {
  const reader = new BundleReader(text, base);
  while (!reader.step()) continue;
  return reader.finish();
}

/** As `parseSections`, giving way to the event loop after each slice by `rest`. */
export async function parseInSlices(
  text: string,
  rest: () => Promise<void>,
  base?: ParsedBundle,
): Promise<ParsedBundle> {
  const reader = new BundleReader(text, base);
  while (!reader.step()) await rest();
  await rest();
  return reader.finish();
}

/** Reads one text, a slice of sections at a time. */
class BundleReader {
  private readonly pieces: readonly TextSection[];
  private readonly known: ReadonlyMap<string, ParsedSection>;
  private readonly sections: ParsedSection[] = [];
  private readonly problems: string[] = [];
  private hasReportedDouble = false;

  constructor(
    private readonly text: string,
    private readonly base?: ParsedBundle,
  ) {
    if (STRAY_LINE_END.test(text))
      this.problems.push('bundle: expected lines to end with a newline');
    this.pieces = splitSections(text);
    this.known = new Map(
      base?.sections.map(section => [section.text, section]),
    );
  }

  /** Reads the next slice; true when all is read. */
  step(): boolean {
    const from = this.sections.length;
    const slice = this.pieces.slice(from, from + SECTIONS_OF_A_SLICE);
    for (const piece of slice) {
      this.sections.push(this.known.get(piece.text) ?? this.read(piece));
    }
    return this.sections.length === this.pieces.length;
  }

  /** Joins the sections and checks them against each other. */
  finish(): ParsedBundle {
    this.checkDoubles();
    this.failOnProblems();
    const bundle = assemble(this.sections, this.base);
    // Not spread into one call: a problem for each of 100,000 VMs would overflow the stack.
    for (const problem of checkBundle(bundle, this.base?.bundle))
      this.problems.push(problem);
    this.failOnProblems();
    return {bundle, sections: this.sections};
  }

  private read(piece: TextSection): ParsedSection {
    const {header, text} = piece;
    const dot = header.indexOf('.');
    const kind = dot < 0 ? header : header.slice(0, dot);
    const name = dot < 0 ? '' : header.slice(dot + 1);
    const values = this.readKeys(piece);
    if (header === '')
      return {header, text, kind: undefined, name, value: values};
    if (dot < 0 && SINGLE.has(kind)) {
      const single = kind as SingleSection;
      const value = this.check(header, SINGLE_SECTIONS[single], values);
      return {header, text, kind: single, name, value};
    }
    if (!NAMED.has(kind) || dot < 0) {
      this.problems.push(`bundle: [${header}] is no section of a bundle`);
      return {header, text, kind: undefined, name, value: undefined};
    }
    if (!NAME.test(name)) {
      this.problems.push(
        `bundle: [${header}]: expected a name of a-z, 0-9, _ and -`,
      );
    }
    const named = kind as NamedSection;
    const value = this.check(header, NAMED_SECTIONS[named], values);
    return {header, text, kind: named, name, value};
  }

  private readKeys(piece: TextSection): Record<string, unknown> {
    try {
      rejectDoubles(piece.text, 'bundle');
    } catch {
      this.reportDouble();
      return {};
    }
    if (piece.header === '') return this.rejectLooseKeys(piece.text);
    return parse(piece.text.slice(piece.text.indexOf(']') + 1));
  }

  private rejectLooseKeys(text: string): Record<string, unknown> {
    for (const key of Object.keys(parse(text)))
      this.problems.push(
        `bundle: ${key}: expected every key inside a [section]`,
      );
    return {};
  }

  /**
   * Once a bundle, with the line number counted from the start of the whole text: a text of
   * bad sections only, each searched for from the start, would hold the event loop for minutes.
   */
  private reportDouble(): void {
    if (this.hasReportedDouble) return;
    this.hasReportedDouble = true;
    try {
      rejectDoubles(this.text, 'bundle');
      this.problems.push('bundle: a section is malformed');
    } catch (error) {
      this.problems.push(toError(error).message);
    }
  }

  private check(
    header: string,
    schema: z.ZodType,
    values: Record<string, unknown>,
  ): unknown {
    const result = schema.safeParse(values);
    for (const issue of result.error?.issues ?? []) {
      const path = [header, ...issue.path.map(String)].join('.');
      this.problems.push(`bundle: ${path}: ${issue.message}`);
    }
    return result.data;
  }

  private checkDoubles(): void {
    const seen = new Set<string>();
    for (const {header} of this.sections) {
      if (seen.has(header))
        this.problems.push(`bundle: section [${header}] stands twice`);
      seen.add(header);
    }
    if (!seen.has(SingleSection.Bundle))
      this.problems.push('bundle: expected a section [bundle]');
  }

  private failOnProblems(): void {
    if (this.problems.length === 0) return;
    throw new BundleError(this.problems.slice(0, MOST_PROBLEMS).join('\n'));
  }
}

function assemble(
  sections: readonly ParsedSection[],
  base: ParsedBundle | undefined,
): Bundle {
  const head = single<BundleHead>(sections, SingleSection.Bundle);
  const weights = single<CostWeights>(sections, SingleSection.Weights);
  const before = base?.bundle;
  return {
    ...(head as BundleHead),
    weights: weights ?? SINGLE_SECTIONS[SingleSection.Weights].parse({}),
    operators: entries(sections, NamedSection.Operator, before?.operators),
    racks: entries(sections, NamedSection.Rack, before?.racks),
    pools: entries(sections, NamedSection.Pool, before?.pools),
    services: entries(sections, NamedSection.Service, before?.services),
    teams: entries(sections, NamedSection.Team, before?.teams),
    callers: entries(sections, NamedSection.Caller, before?.callers),
  };
}

function single<Value>(
  sections: readonly ParsedSection[],
  kind: SingleSection,
): Value | undefined {
  return sections.find(section => section.kind === kind)?.value as
    Value | undefined;
}

/**
 * The sections of one kind by name; the object of `before` itself when none changed, so that
 * what was derived from it stays valid. Without a prototype: a pool may be named `constructor`.
 */
function entries<Value>(
  sections: readonly ParsedSection[],
  kind: NamedSection,
  before: Readonly<Record<string, Value>> | undefined,
): Readonly<Record<string, Value>> {
  const found = Object.create(null) as Record<string, Value>;
  for (const section of sections) {
    if (section.kind === kind) found[section.name] = section.value as Value;
  }
  return before && sameEntries(before, found) ? before : found;
}

function sameEntries<Value>(
  left: Readonly<Record<string, Value>>,
  right: Readonly<Record<string, Value>>,
): boolean {
  const names = Object.keys(left);
  if (names.length !== Object.keys(right).length) return false;
  return names.every(name => left[name] === right[name]);
}

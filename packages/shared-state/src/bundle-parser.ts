import {parse} from 'ini';
import type {z} from 'zod';
import {BundleError, rejectDuplicates, toError} from '@gentiandoor/kernel';
import type {Bundle, CostWeights} from './bundle.js';
import {validateBundle} from './bundle-validation.js';
import {
  NAME_PATTERN,
  NAMED_SECTION_SCHEMAS,
  NamedSectionKind,
  SINGLE_SECTION_SCHEMAS,
  SingleSectionKind,
  type BundleHeader,
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
const AMBIGUOUS_LINE_END = /\r(?!\n)|\u2028|\u2029/;
/** Problems listed of one bundle; more do not help its author. */
const MAXIMUM_REPORTED_PROBLEMS = 50;
/** Sections read in one slice: under a millisecond of the event loop. */
const SECTIONS_PER_SLICE = 50;
const SINGLE_SECTION_KINDS: ReadonlySet<string> = new Set(
  Object.values(SingleSectionKind),
);
const NAMED_SECTION_KINDS: ReadonlySet<string> = new Set(
  Object.values(NamedSectionKind),
);

/** Reads a bundle from INI text; throws `BundleError` listing the problems found. */
export function parseBundle(text: string): Bundle {
  return parseSections(text).bundle;
}

/**
 * Reads a bundle section by section. Sections that stand in `base` with the same text are
 * taken over: a change costs what it changes, not 31,000 VMs.
 */
export function parseSections(text: string, base?: ParsedBundle): ParsedBundle {
  const reader = new IncrementalBundleParser(text, base);
  while (!reader.parseNextSlice()) continue;
  return reader.finish();
}

/** As `parseSections`, giving way to the event loop after each slice by `rest`. */
export async function parseSectionsInSlices(
  text: string,
  rest: () => Promise<void>,
  base?: ParsedBundle,
): Promise<ParsedBundle> {
  const reader = new IncrementalBundleParser(text, base);
  while (!reader.parseNextSlice()) await rest();
  await rest();
  return reader.finish();
}

/** Reads one text, a slice of sections at a time. */
class IncrementalBundleParser {
  private readonly textSections: readonly TextSection[];
  private readonly reusableSections: ReadonlyMap<string, ParsedSection>;
  private readonly sections: ParsedSection[] = [];
  private readonly problems: string[] = [];
  private hasReportedDuplicate = false;

  constructor(
    private readonly text: string,
    private readonly base?: ParsedBundle,
  ) {
    if (AMBIGUOUS_LINE_END.test(text))
      this.problems.push('bundle: expected lines to end with a newline');
    this.textSections = splitSections(text);
    this.reusableSections = new Map(
      base?.sections.map(section => [section.text, section]),
    );
  }

  /** Reads the next slice; true when all is read. */
  parseNextSlice(): boolean {
    const from = this.sections.length;
    const slice = this.textSections.slice(from, from + SECTIONS_PER_SLICE);
    for (const piece of slice) {
      this.sections.push(
        this.reusableSections.get(piece.text) ?? this.read(piece),
      );
    }
    return this.sections.length === this.textSections.length;
  }

  /** Joins the sections and checks them against each other. */
  finish(): ParsedBundle {
    this.checkDuplicateSections();
    this.failOnProblems();
    const bundle = buildBundle(this.sections, this.base);
    // Not spread into one call: a problem for each of 100,000 VMs would overflow the stack.
    for (const problem of validateBundle(bundle, this.base?.bundle))
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
    if (dot < 0 && SINGLE_SECTION_KINDS.has(kind)) {
      const single = kind as SingleSectionKind;
      const value = this.validateSection(
        header,
        SINGLE_SECTION_SCHEMAS[single],
        values,
      );
      return {header, text, kind: single, name, value};
    }
    if (!NAMED_SECTION_KINDS.has(kind) || dot < 0) {
      this.problems.push(`bundle: [${header}] is no section of a bundle`);
      return {header, text, kind: undefined, name, value: undefined};
    }
    if (!NAME_PATTERN.test(name)) {
      this.problems.push(
        `bundle: [${header}]: expected a name of a-z, 0-9, _ and -`,
      );
    }
    const named = kind as NamedSectionKind;
    const value = this.validateSection(
      header,
      NAMED_SECTION_SCHEMAS[named],
      values,
    );
    return {header, text, kind: named, name, value};
  }

  private readKeys(piece: TextSection): Record<string, unknown> {
    try {
      rejectDuplicates(piece.text, 'bundle');
    } catch {
      this.reportDuplicateKey();
      return {};
    }
    if (piece.header === '') return this.rejectKeysOutsideSections(piece.text);
    return parse(piece.text.slice(piece.text.indexOf(']') + 1));
  }

  private rejectKeysOutsideSections(text: string): Record<string, unknown> {
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
  private reportDuplicateKey(): void {
    if (this.hasReportedDuplicate) return;
    this.hasReportedDuplicate = true;
    try {
      rejectDuplicates(this.text, 'bundle');
      this.problems.push('bundle: a section is malformed');
    } catch (error) {
      this.problems.push(toError(error).message);
    }
  }

  private validateSection(
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

  private checkDuplicateSections(): void {
    const seen = new Set<string>();
    for (const {header} of this.sections) {
      if (seen.has(header))
        this.problems.push(`bundle: section [${header}] stands twice`);
      seen.add(header);
    }
    if (!seen.has(SingleSectionKind.Bundle))
      this.problems.push('bundle: expected a section [bundle]');
  }

  private failOnProblems(): void {
    if (this.problems.length === 0) return;
    throw new BundleError(
      this.problems.slice(0, MAXIMUM_REPORTED_PROBLEMS).join('\n'),
    );
  }
}

function buildBundle(
  sections: readonly ParsedSection[],
  base: ParsedBundle | undefined,
): Bundle {
  const head = singleSectionValue<BundleHeader>(
    sections,
    SingleSectionKind.Bundle,
  );
  const weights = singleSectionValue<CostWeights>(
    sections,
    SingleSectionKind.Weights,
  );
  const before = base?.bundle;
  return {
    ...(head as BundleHeader),
    weights:
      weights ?? SINGLE_SECTION_SCHEMAS[SingleSectionKind.Weights].parse({}),
    operators: namedSectionEntries(
      sections,
      NamedSectionKind.Operator,
      before?.operators,
    ),
    racks: namedSectionEntries(sections, NamedSectionKind.Rack, before?.racks),
    pools: namedSectionEntries(sections, NamedSectionKind.Pool, before?.pools),
    services: namedSectionEntries(
      sections,
      NamedSectionKind.Service,
      before?.services,
    ),
    teams: namedSectionEntries(sections, NamedSectionKind.Team, before?.teams),
    callers: namedSectionEntries(
      sections,
      NamedSectionKind.Caller,
      before?.callers,
    ),
  };
}

function singleSectionValue<Value>(
  sections: readonly ParsedSection[],
  kind: SingleSectionKind,
): Value | undefined {
  return sections.find(section => section.kind === kind)?.value as
    Value | undefined;
}

/**
 * The sections of one kind by name; the object of `before` itself when none changed, so that
 * what was derived from it stays valid. Without a prototype: a pool may be named `constructor`.
 */
function namedSectionEntries<Value>(
  sections: readonly ParsedSection[],
  kind: NamedSectionKind,
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

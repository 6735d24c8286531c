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
 * Line endings that only some programs treat as such: a reviewer could see and sign off a
 * different text than the fold parses.
 */
const AMBIGUOUS_LINE_END = /\r(?!\n)|\u2028|\u2029/;
/** Maximum problems reported for one bundle; a longer list does not help its author. */
const MAXIMUM_REPORTED_PROBLEMS = 50;
/** Sections parsed per slice; a slice blocks the event loop for less than a millisecond. */
const SECTIONS_PER_SLICE = 50;
const SINGLE_SECTION_KINDS: ReadonlySet<string> = new Set(
  Object.values(SingleSectionKind),
);
const NAMED_SECTION_KINDS: ReadonlySet<string> = new Set(
  Object.values(NamedSectionKind),
);

/** Parses a bundle from INI text; throws a `BundleError` that lists the problems found. */
export function parseBundle(text: string): Bundle {
  return parseSections(text).bundle;
}

/**
 * Parses a bundle section by section. Sections whose text is the same in `base` are reused, so
 * the cost of a change depends on its size and not on the 31,000 VMs of the bundle.
 */
export function parseSections(text: string, base?: ParsedBundle): ParsedBundle {
  const parser = new IncrementalBundleParser(text, base);
  while (!parser.parseNextSlice()) continue;
  return parser.finish();
}

/** Like `parseSections`, but calls `yieldToEventLoop` after each slice. */
export async function parseSectionsInSlices(
  text: string,
  yieldToEventLoop: () => Promise<void>,
  base?: ParsedBundle,
): Promise<ParsedBundle> {
  const parser = new IncrementalBundleParser(text, base);
  while (!parser.parseNextSlice()) await yieldToEventLoop();
  await yieldToEventLoop();
  return parser.finish();
}

/** Parses one text, a slice of sections at a time. */
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

  /** Parses the next slice; returns true once the whole text is parsed. */
  parseNextSlice(): boolean {
    const from = this.sections.length;
    const slice = this.textSections.slice(from, from + SECTIONS_PER_SLICE);
    for (const section of slice) {
      this.sections.push(
        this.reusableSections.get(section.text) ?? this.read(section),
      );
    }
    return this.sections.length === this.textSections.length;
  }

  /** Builds the bundle from its sections and validates it as a whole. */
  finish(): ParsedBundle {
    this.checkDuplicateSections();
    this.failOnProblems();
    const bundle = buildBundle(this.sections, this.base);
    // Not push(...problems): one problem for each of 100,000 VMs would overflow the stack.
    for (const problem of validateBundle(bundle, this.base?.bundle))
      this.problems.push(problem);
    this.failOnProblems();
    return {bundle, sections: this.sections};
  }

  private read(section: TextSection): ParsedSection {
    const {header, text} = section;
    const dot = header.indexOf('.');
    const kind = dot < 0 ? header : header.slice(0, dot);
    const name = dot < 0 ? '' : header.slice(dot + 1);
    const values = this.readKeys(section);
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

  private readKeys(section: TextSection): Record<string, unknown> {
    try {
      rejectDuplicates(section.text, 'bundle');
    } catch {
      this.reportDuplicateKey();
      return {};
    }
    if (section.header === '')
      return this.rejectKeysOutsideSections(section.text);
    return parse(section.text.slice(section.text.indexOf(']') + 1));
  }

  private rejectKeysOutsideSections(text: string): Record<string, unknown> {
    for (const key of Object.keys(parse(text)))
      this.problems.push(
        `bundle: ${key}: expected every key inside a [section]`,
      );
    return {};
  }

  /**
   * Reports only the first duplicate or malformed key of a bundle, because the search for its
   * line number starts at the beginning of the text. Repeating the search for each section of
   * a text with only malformed sections would block the event loop for minutes.
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
  const header = singleSectionValue<BundleHeader>(
    sections,
    SingleSectionKind.Bundle,
  );
  const weights = singleSectionValue<CostWeights>(
    sections,
    SingleSectionKind.Weights,
  );
  const previous = base?.bundle;
  return {
    ...(header as BundleHeader),
    weights:
      weights ?? SINGLE_SECTION_SCHEMAS[SingleSectionKind.Weights].parse({}),
    operators: namedSectionEntries(
      sections,
      NamedSectionKind.Operator,
      previous?.operators,
    ),
    racks: namedSectionEntries(
      sections,
      NamedSectionKind.Rack,
      previous?.racks,
    ),
    pools: namedSectionEntries(
      sections,
      NamedSectionKind.Pool,
      previous?.pools,
    ),
    services: namedSectionEntries(
      sections,
      NamedSectionKind.Service,
      previous?.services,
    ),
    teams: namedSectionEntries(
      sections,
      NamedSectionKind.Team,
      previous?.teams,
    ),
    callers: namedSectionEntries(
      sections,
      NamedSectionKind.Caller,
      previous?.callers,
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
 * Returns the sections of one kind by name. Returns the object `previous` itself if no section
 * changed, so that caches derived from it stay valid. The object has no prototype, because a
 * pool may be named `constructor`.
 */
function namedSectionEntries<Value>(
  sections: readonly ParsedSection[],
  kind: NamedSectionKind,
  previous: Readonly<Record<string, Value>> | undefined,
): Readonly<Record<string, Value>> {
  const entries = Object.create(null) as Record<string, Value>;
  for (const section of sections) {
    if (section.kind === kind) entries[section.name] = section.value as Value;
  }
  return previous && sameEntries(previous, entries) ? previous : entries;
}

function sameEntries<Value>(
  left: Readonly<Record<string, Value>>,
  right: Readonly<Record<string, Value>>,
): boolean {
  const names = Object.keys(left);
  if (names.length !== Object.keys(right).length) return false;
  return names.every(name => left[name] === right[name]);
}

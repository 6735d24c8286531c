import {parse} from 'ini';
import {z} from 'zod';
import {SettingsError} from './errors.js';

/** One section of a settings file, before validation. */
export type SettingsSection = Readonly<Record<string, unknown>>;

/** All sections of a settings file, before the plug-ins validate them. */
export class SettingsFile {
  constructor(
    readonly path: string,
    private readonly sections: ReadonlyMap<string, SettingsSection>,
  ) {}

  /** Returns the names of the sections in the file. */
  sectionNames(): string[] {
    return [...this.sections.keys()];
  }

  /**
   * Validates one section; throws a `SettingsError` that names the file, the section, the key
   * and what was expected.
   */
  section<Schema extends z.ZodType>(
    name: string,
    schema: Schema,
  ): z.output<Schema> {
    const result = schema.safeParse(this.sections.get(name) ?? {});
    if (result.success) return result.data;
    const problems = result.error.issues.map(issue =>
      this.describe(name, issue),
    );
    throw new SettingsError(problems.join('\n'));
  }

  private describe(section: string, issue: z.core.$ZodIssue): string {
    if (issue.code === 'unrecognized_keys') {
      return `${this.path}: [${section}] unknown key ${issue.keys.join(', ')}: expected only documented keys`;
    }
    const key = issue.path.join('.') || '(section)';
    return `${this.path}: [${section}] ${key}: ${issue.message}`;
  }
}

/** Parses INI text; a duplicate section or key is an error instead of being merged silently. */
export function parseSettings(text: string, path: string): SettingsFile {
  rejectDuplicates(text, path);
  const sections = new Map<string, SettingsSection>();
  for (const [name, value] of Object.entries(
    parse(text) as Record<string, unknown>,
  )) {
    if (typeof value !== 'object' || value === null) {
      throw new SettingsError(
        `${path}: ${name}: expected every key inside a [section]`,
      );
    }
    sections.set(name, value as SettingsSection);
  }
  return new SettingsFile(path, sections);
}

/** Line breaks at which the INI library splits or drops a line that an editor shows as one. */
const UNSUPPORTED_LINE_BREAK = /\r(?!\n)|\u2028|\u2029/;
/** Quotes, escapes and comment characters, which the INI library strips from names. */
const SPECIAL_CHARACTERS_IN_NAME = /["';#\\]/;
const PROTOTYPE_KEY = '__proto__';

/**
 * Rejects what the INI library would merge or drop silently: a section or key that is
 * duplicated, has no name or has a name that the library changes. Throws a `SettingsError`
 * with the line number.
 */
export function rejectDuplicates(text: string, path: string): void {
  if (UNSUPPORTED_LINE_BREAK.test(text))
    throw new SettingsError(`${path}: expected lines to end with a newline`);
  const sections = new Set<string>();
  let keys = new Set<string>();
  let section = '';
  text.split(/\r?\n/).forEach((raw, index) => {
    const line = raw.trim();
    if (line === '' || line.startsWith(';') || line.startsWith('#')) return;
    const header = /^\[([^\]]*)\]$/.exec(line);
    if (header) {
      section = header[1].trim();
      rejectUnsafeName(section, `${path}:${index + 1}`);
      if (sections.has(section)) {
        throw new SettingsError(
          `${path}:${index + 1}: section [${section}] stands twice: expected it once`,
        );
      }
      sections.add(section);
      keys = new Set();
      return;
    }
    const key = line.split('=', 1)[0].trim();
    if (!line.includes('=')) {
      throw new SettingsError(
        `${path}:${index + 1}: expected "key = value", found "${line}"`,
      );
    }
    rejectUnsafeName(key, `${path}:${index + 1}`);
    if (!key.endsWith('[]') && keys.has(key)) {
      throw new SettingsError(
        `${path}:${index + 1}: [${section}] key ${key} stands twice: expected it once`,
      );
    }
    keys.add(key);
  });
}

/**
 * Rejects names that the INI library changes or drops. It drops `__proto__` and reads `listen;a`
 * as `listen`, so the file would show a setting that has no effect or that a later line replaces.
 */
function rejectUnsafeName(name: string, location: string): void {
  const parts = name.replace(/\[\]$/, '').split('.');
  const isPlain = name !== '' && !SPECIAL_CHARACTERS_IN_NAME.test(name);
  if (isPlain && !parts.some(part => part.trim() === PROTOTYPE_KEY)) return;
  throw new SettingsError(
    `${location}: expected a plain name, found "${name.slice(0, 100)}"`,
  );
}

/** Returns the schema of an integer within bounds, read from INI text. */
export function integerSetting(minimum: number, maximum: number) {
  return z
    .union([z.string(), z.number()], {
      error: `expected a whole number from ${minimum} to ${maximum}`,
    })
    .transform(Number)
    .refine(
      value => Number.isInteger(value) && value >= minimum && value <= maximum,
      {
        error: `expected a whole number from ${minimum} to ${maximum}`,
      },
    );
}

/** Returns the schema of a number within bounds, read from INI text. */
export function numberSetting(minimum: number, maximum: number) {
  return z
    .union([z.string(), z.number()], {
      error: `expected a number from ${minimum} to ${maximum}`,
    })
    .transform(Number)
    .refine(
      value => Number.isFinite(value) && value >= minimum && value <= maximum,
      {
        error: `expected a number from ${minimum} to ${maximum}`,
      },
    );
}

const ADDRESS_PATTERN = /^(\d{1,3}(?:\.\d{1,3}){3}):(\d{1,5})$/;

/** Returns the schema of an IP address with a port, such as 127.0.0.1:8080. */
export function addressSetting() {
  return z
    .string({
      error: 'expected an IP number with a port, such as 127.0.0.1:8080',
    })
    .regex(ADDRESS_PATTERN, {
      error: 'expected an IP number with a port, such as 127.0.0.1:8080',
    });
}

/** Returns the schema of a comma-separated list; empty items are removed. */
export function listSetting() {
  return z.string({error: 'expected a comma-separated list'}).transform(text =>
    text
      .split(',')
      .map(item => item.trim())
      .filter(item => item !== ''),
  );
}

/** Splits an address setting into host and port. */
export function splitAddress(address: string): {host: string; port: number} {
  const colon = address.lastIndexOf(':');
  return {
    host: address.slice(0, colon),
    port: Number(address.slice(colon + 1)),
  };
}

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {SettingsError} from '../errors.js';
import {parseSettings} from '../settings.js';

const RUNS = {
  seed: 20_262,
  numRuns: Number(process.env.GENTIANDOOR_FUZZ_RUNS ?? 500),
};

const fragment = fc.oneof(
  fc.constantFrom('[admin]', '[', ']', '=', '.', '[]', '__proto__', '"', '\\'),
  fc.constantFrom('\n', '\r\n', '\r', '\u2028', ';', '#', 'listen', 'toString'),
  fc.string({maxLength: 5}),
);
const settingsText = fc
  .array(fragment, {maxLength: 40})
  .map(all => all.join(''));

describe('parseSettings', () => {
  it('parses any text or throws a SettingsError', () => {
    fc.assert(
      fc.property(settingsText, text => {
        try {
          parseSettings(text, 'any.ini');
        } catch (error) {
          assert.ok(error instanceof SettingsError, String(error));
        }
      }),
      RUNS,
    );
  });

  // The INI library silently drops or merges each of these, so the file would show a setting
  // that has no effect.
  for (const [text, found] of [
    ['[__proto__]\na = 1', /any.ini:1: expected a plain name/],
    ['[a.__proto__.b]\nc = 1', /any.ini:1: expected a plain name/],
    ['[a]\n__proto__ = 1', /any.ini:2: expected a plain name/],
    ['[a]\n__proto__[] = 1', /any.ini:2: expected a plain name/],
    ['[a]\n"\\u005f_proto__" = 1', /any.ini:2: expected a plain name/],
    ['[a]\nlisten;x = 1\nlisten;y = 2', /any.ini:2: expected a plain name/],
    ['[a]\n= 1', /any.ini:2: expected a plain name/],
    ['[a]\nb = 1\rb = 2', /expected lines to end with a newline/],
    ['[a]\nb = 1\u2028', /expected lines to end with a newline/],
  ] as const) {
    it(`rejects ${JSON.stringify(text)}`, () => {
      assert.throws(
        () => parseSettings(text, 'any.ini'),
        (error: Error) =>
          error instanceof SettingsError && found.test(error.message),
      );
    });
  }

  it('keeps a section named like an inherited member', () => {
    const file = parseSettings('[constructor]\ntoString = 1\n', 'any.ini');
    assert.deepEqual(file.sectionNames(), ['constructor']);
  });
});

import assert from 'node:assert/strict';
import {readFileSync} from 'node:fs';
import {describe, it} from 'node:test';
import {fileURLToPath} from 'node:url';
import {currentPart} from '../page-parts.js';
import {referenceParts} from '../reference-pages.js';

function readPage(page: string): string {
  const url = new URL(`../../../../docs/${page}`, import.meta.url);
  return readFileSync(fileURLToPath(url), 'utf8');
}

describe('reference pages', () => {
  for (const part of referenceParts()) {
    it(`${part.page} has up-to-date ${part.name} (npm run reference rewrites them)`, () => {
      assert.equal(currentPart(readPage(part.page), part), part.text);
    });
  }
});

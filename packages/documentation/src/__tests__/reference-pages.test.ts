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

describe('the reference pages', () => {
  for (const part of referenceParts()) {
    it(`${part.page} holds the ${part.name} of the code (npm run reference writes them)`, () => {
      assert.equal(currentPart(readPage(part.page), part), part.text);
    });
  }
});

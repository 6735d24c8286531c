import assert from 'node:assert/strict';
import {existsSync, readFileSync, writeFileSync} from 'node:fs';

/** `1` rewrites golden files instead of comparing with them; `npm run golden` sets it. */
const WRITE_VARIABLE = 'GENTIANDOOR_WRITE_GOLDEN';

/** Asserts that a text equals its golden file. */
export function assertGolden(file: URL, text: string): void {
  if (process.env[WRITE_VARIABLE] === '1') {
    writeFileSync(file, text);
    return;
  }
  assert.ok(
    existsSync(file),
    `no golden file ${file.pathname}: npm run golden writes it`,
  );
  assert.equal(text, readFileSync(file, 'utf8'));
}

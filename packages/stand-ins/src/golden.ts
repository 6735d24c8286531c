import assert from 'node:assert/strict';
import {existsSync, readFileSync, writeFileSync} from 'node:fs';

/** Set to rewrite golden files instead of comparing with them: `npm run golden` does. */
const WRITE_VARIABLE = 'GENTIANDOOR_WRITE_GOLDEN';

/** Holds the text of a session against its golden file. */
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

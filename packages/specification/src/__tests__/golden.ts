import assert from 'node:assert/strict';
import {readFileSync, writeFileSync} from 'node:fs';
import {fileURLToPath} from 'node:url';

/** Set by `npm run golden:once-only` only. */
const REWRITE = process.env.GENTIANDOOR_REWRITE_GOLDEN === 'yes';

/** Asserts that a recorded session equals its golden file. */
export function assertGolden(name: string, lines: readonly string[]): void {
  const path = fileURLToPath(
    new URL(`../../golden/${name}.txt`, import.meta.url),
  );
  const text = `${lines.join('\n')}\n`;
  if (REWRITE) writeFileSync(path, text);
  assert.equal(text, readFileSync(path, 'utf8'));
}

// Runs all built tests. Tests listed in KNOWN-RED.txt may fail and are printed; any other failure
// fails the run. So does an entry whose test passed or did not run, so that no entry remains after
// its fault is fixed.
import {existsSync, readFileSync, readdirSync} from 'node:fs';
import path from 'node:path';
import {run} from 'node:test';
import {spec} from 'node:test/reporters';

const KNOWN_RED_FILE = 'KNOWN-RED.txt';
/** Prefix of the line that names a test: describe blocks and test, joined by NAME_SEPARATOR. */
const TEST_PREFIX = 'test: ';
const NAME_SEPARATOR = ' > ';
const TEST_TIMEOUT_MILLISECONDS = 120_000;
/** Tests that start a daemon beside a crowd; they run by themselves, one file at a time. */
const CROWD_SUFFIX = '.crowd.test.js';
const ROOTS = ['packages', 'platform'];

function readKnownRed() {
  if (!existsSync(KNOWN_RED_FILE)) return new Set();
  const lines = readFileSync(KNOWN_RED_FILE, 'utf8').split('\n');
  const entries = lines.filter(line => line.startsWith(TEST_PREFIX));
  return new Set(entries.map(line => line.slice(TEST_PREFIX.length).trim()));
}

function findTests(folder) {
  return readdirSync(folder, {withFileTypes: true}).flatMap(entry => {
    const child = path.join(folder, entry.name);
    if (entry.isDirectory())
      return entry.name === 'node_modules' ? [] : findTests(child);
    const isBuilt = child.split(path.sep).includes('lib');
    return isBuilt && entry.name.endsWith('.test.js') ? [child] : [];
  });
}

/** Builds full test names from enclosing blocks; each file reports blocks and tests in order. */
class TestNames {
  #blocksByFile = new Map();

  recordStart({file, nesting, name}) {
    const blocks = this.#blocksByFile.get(file) ?? [];
    this.#blocksByFile.set(file, [...blocks.slice(0, nesting), name]);
  }

  nameOf({file, nesting, name}) {
    const blocks = this.#blocksByFile.get(file) ?? [];
    return [...blocks.slice(0, nesting), name].join(NAME_SEPARATOR);
  }
}

/** Runs test files, several at a time if `concurrency` is true, and resolves at their end. */
function runFiles(files, concurrency) {
  const tests = run({files, concurrency, timeout: TEST_TIMEOUT_MILLISECONDS});
  tests.on('test:start', data => names.recordStart(data));
  tests.on('test:fail', data => {
    // A block also fails if one of its tests fails; that test is reported separately.
    if (data.details.error?.failureType === 'subtestsFailed') return;
    const name = names.nameOf(data);
    (knownRed.has(name) ? knownFailures : failed).add(name);
  });
  return new Promise((resolve, reject) => {
    tests.on('error', reject);
    const report = tests.compose(new spec());
    report.on('error', reject);
    report.on('end', resolve);
    report.pipe(process.stdout, {end: false});
  });
}

const knownRed = readKnownRed();
const names = new TestNames();
const knownFailures = new Set();
const failed = new Set();

const files = ROOTS.flatMap(findTests)
  .sort()
  .map(file => path.resolve(file));
await runFiles(
  files.filter(file => !file.endsWith(CROWD_SUFFIX)),
  true,
);
await runFiles(
  files.filter(file => file.endsWith(CROWD_SUFFIX)),
  false,
);
const stale = [...knownRed].filter(name => !knownFailures.has(name));
for (const name of knownFailures) console.log(`known red: ${name}`);
for (const name of stale)
  console.error(`${KNOWN_RED_FILE} names a test that did not fail: ${name}`);
if (failed.size > 0 || stale.length > 0) process.exitCode = 1;

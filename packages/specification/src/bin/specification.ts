#!/usr/bin/env node
import type {Exploration} from '../explore.js';
import {LONG_SUBJECTS, SUBJECTS, type Checkable} from '../subjects.js';

const EXIT_BROKEN = 1;

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

function printViolations({violations}: Exploration): void {
  for (const {promise, invariant, trace} of violations) {
    print(`    ${promise} broken: ${invariant}`);
    trace.forEach((step, index) => print(`      ${index + 1}. ${step}`));
  }
}

function checkWhole(subject: Checkable): boolean {
  const result = subject.check();
  const {specification, states, transitions, violations} = result;
  print(`${specification}: ${states} states, ${transitions} transitions`);
  printViolations(result);
  return violations.length === 0;
}

function checkMutations(subject: Checkable): boolean {
  let allCaught = true;
  for (const mutation of subject.mutations) {
    const result = subject.mutate(mutation);
    const caught = result.violations.some(
      ({invariant}) => invariant === mutation.breaks,
    );
    allCaught &&= caught;
    const verdict = caught ? 'caught' : 'NOT CAUGHT';
    print(`  ${mutation.name} (without ${mutation.without}): ${verdict}`);
    printViolations(result);
  }
  return allCaught;
}

/** Prints the states explored, the mutations and their shortest traces; `--long` adds larger bounds. */
function main(): number {
  const long = process.argv.includes('--long') ? LONG_SUBJECTS : [];
  let isWhole = true;
  for (const subject of [...SUBJECTS, ...long]) {
    isWhole = checkWhole(subject) && isWhole;
    isWhole = checkMutations(subject) && isWhole;
  }
  return isWhole ? 0 : EXIT_BROKEN;
}

process.exitCode = main();

#!/usr/bin/env node
import type {Exploration} from '../explore.js';
import {
  LONG_MODEL_CHECKS,
  MODEL_CHECKS,
  type ModelCheck,
} from '../model-checks.js';

const VIOLATION_EXIT_CODE = 1;

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

function printViolations({violations}: Exploration): void {
  for (const {guarantee: promise, invariant, trace} of violations) {
    print(`    ${promise} broken: ${invariant}`);
    trace.forEach((step, index) => print(`      ${index + 1}. ${step}`));
  }
}

function checkUnmutated(subject: ModelCheck): boolean {
  const result = subject.explore();
  const {specification, states, transitions, violations} = result;
  print(`${specification}: ${states} states, ${transitions} transitions`);
  printViolations(result);
  return violations.length === 0;
}

function checkMutations(subject: ModelCheck): boolean {
  let allCaught = true;
  for (const mutation of subject.mutations) {
    const result = subject.exploreMutation(mutation);
    const caught = result.violations.some(
      ({invariant}) => invariant === mutation.brokenInvariant,
    );
    allCaught &&= caught;
    const verdict = caught ? 'caught' : 'NOT CAUGHT';
    print(
      `  ${mutation.name} (without ${mutation.removedSafeguard}): ${verdict}`,
    );
    printViolations(result);
  }
  return allCaught;
}

/** Prints the states explored, the mutations and their shortest traces; `--long` adds larger bounds. */
function main(): number {
  const long = process.argv.includes('--long') ? LONG_MODEL_CHECKS : [];
  let isWhole = true;
  for (const subject of [...MODEL_CHECKS, ...long]) {
    isWhole = checkUnmutated(subject) && isWhole;
    isWhole = checkMutations(subject) && isWhole;
  }
  return isWhole ? 0 : VIOLATION_EXIT_CODE;
}

process.exitCode = main();

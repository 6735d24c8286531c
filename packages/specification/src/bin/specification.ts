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
  for (const {guarantee, invariant, trace} of violations) {
    print(`    ${guarantee} broken: ${invariant}`);
    trace.forEach((step, index) => print(`      ${index + 1}. ${step}`));
  }
}

function checkUnmutated(modelCheck: ModelCheck): boolean {
  const result = modelCheck.explore();
  const {specification, states, transitions, violations} = result;
  print(`${specification}: ${states} states, ${transitions} transitions`);
  printViolations(result);
  return violations.length === 0;
}

function checkMutations(modelCheck: ModelCheck): boolean {
  let allCaught = true;
  for (const mutation of modelCheck.mutations) {
    const result = modelCheck.exploreMutation(mutation);
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

/**
 * Prints the number of explored states, the mutations and their shortest traces; `--long`
 * adds larger bounds.
 */
function main(): number {
  const longChecks = process.argv.includes('--long') ? LONG_MODEL_CHECKS : [];
  let allPassed = true;
  for (const modelCheck of [...MODEL_CHECKS, ...longChecks]) {
    allPassed = checkUnmutated(modelCheck) && allPassed;
    allPassed = checkMutations(modelCheck) && allPassed;
  }
  return allPassed ? 0 : VIOLATION_EXIT_CODE;
}

process.exitCode = main();

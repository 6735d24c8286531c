#!/usr/bin/env node
import {runProgram} from '../program.js';

const code = await runProgram(process.argv, line =>
  process.stdout.write(`${line}\n`),
);
process.exit(code);

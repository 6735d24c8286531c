#!/usr/bin/env node
import {processContext} from '../process-context.js';
import {runProgram} from '../program.js';

process.exitCode = await runProgram(process.argv, processContext());

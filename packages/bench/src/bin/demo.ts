#!/usr/bin/env node
import {Demo} from '../demo/demo.js';

const held = await new Demo(line => process.stdout.write(`${line}\n`)).run();
process.exit(held ? 0 : 1);

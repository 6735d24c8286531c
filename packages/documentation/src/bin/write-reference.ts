#!/usr/bin/env node
import {readFileSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {replacePart} from '../page-parts.js';
import {referenceParts} from '../reference-pages.js';

for (const part of referenceParts()) {
  const path = join('docs', part.page);
  writeFileSync(path, replacePart(readFileSync(path, 'utf8'), part));
}

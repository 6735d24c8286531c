import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {ERROR_RESPONSES, ErrorKind, RequestExecution} from '../error-kinds.js';

/** Refusals that pass with time: a timeout, a quota, a lack of capacity. */
const PASSING_STATUSES = new Set([408, 429, 503]);

describe('the table of error kinds', () => {
  for (const kind of Object.values(ErrorKind)) {
    const {status, run, retryAfterSeconds} = ERROR_RESPONSES[kind];
    if (run === RequestExecution.NotRun && PASSING_STATUSES.has(status)) {
      it(`says when to come back after ${kind}`, () => {
        assert.ok((retryAfterSeconds ?? 0) > 0);
      });
    }
  }
});

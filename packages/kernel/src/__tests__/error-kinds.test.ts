import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {ERROR_RESPONSES, ErrorKind, RequestExecution} from '../error-kinds.js';

/** Statuses of temporary refusals: a timeout, an exhausted quota, a lack of capacity. */
const TEMPORARY_REFUSAL_STATUSES = new Set([408, 429, 503]);

describe('ERROR_RESPONSES', () => {
  for (const kind of Object.values(ErrorKind)) {
    const {status, run, retryAfterSeconds} = ERROR_RESPONSES[kind];
    if (
      run === RequestExecution.NotRun &&
      TEMPORARY_REFUSAL_STATUSES.has(status)
    ) {
      it(`sets Retry-After for ${kind}`, () => {
        assert.ok((retryAfterSeconds ?? 0) > 0);
      });
    }
  }
});

import {RunOutcome, type AnswerSink, type Clock} from '@gentiandoor/kernel';
import type {CallerSide} from './caller-side.js';
import {RUN_HEADER} from './error-answer.js';
import {endToEndHeaders, valuesOf} from './headers.js';
import type {HeldAnswerRecorder} from './held-answer-recorder.js';

/** A target's word that it is leaving: it gets no new work from then on. */
export const LEAVING_HEADER = 'gentiandoor-leaving';
const SERVICE_UNAVAILABLE = 503;

/** A target's own word that it did not run the request. */
export interface TargetRefusal {
  /** From the target's `Retry-After`; undefined where it gave none. */
  readonly retryAfterSeconds: number | undefined;
}

/** Passes one target's answer to the caller, unless the target says that it ran nothing. */
export class AnswerForwarder implements AnswerSink {
  /** Set when the target answered that it did not run the request. */
  refusal: TargetRefusal | undefined;
  /** Status of the answer; 0 before its head. */
  status = 0;
  /** Monotonic milliseconds at which the head came. */
  headAt: number | undefined;
  /** Whether the target said that it takes no new work any more. */
  saysLeaving = false;

  constructor(
    private readonly caller: CallerSide,
    private readonly recorder: HeldAnswerRecorder | undefined,
    private readonly clock: Clock,
  ) {}

  onHead(status: number, headers: readonly string[]): void {
    this.status = status;
    this.headAt = this.clock.monotonicMilliseconds();
    this.saysLeaving = valuesOf(headers, LEAVING_HEADER).includes('yes');
    if (status === SERVICE_UNAVAILABLE && saysNotRun(headers)) {
      this.refusal = {retryAfterSeconds: retryAfter(headers)};
      return;
    }
    const kept = endToEndHeaders(headers);
    this.recorder?.head(status, kept);
    this.caller.head(status, kept);
  }

  onData(chunk: Buffer): boolean {
    if (this.refusal) return true;
    this.recorder?.data(chunk);
    return this.caller.data(chunk);
  }

  onEnd(trailers: readonly string[]): void {
    if (!this.refusal) this.caller.end(trailers);
  }
}

function saysNotRun(headers: readonly string[]): boolean {
  const values = valuesOf(headers, RUN_HEADER);
  return values.length === 1 && values[0].trim() === RunOutcome.NotRun;
}

function retryAfter(headers: readonly string[]): number | undefined {
  const [value] = valuesOf(headers, 'retry-after');
  return value !== undefined && /^\d{1,6}$/.test(value)
    ? Number(value)
    : undefined;
}

import {
  RequestExecution,
  type ResponseSink,
  type Clock,
} from '@gentiandoor/kernel';
import type {CallerResponseWriter} from './caller-response-writer.js';
import {RUN_HEADER} from './error-response.js';
import {endToEndHeaders, headerValues} from './headers.js';
import type {HeldAnswerRecorder} from './held-answer-recorder.js';

/** Response header of a target that is leaving: it gets no new work from then on. */
export const LEAVING_HEADER = 'gentiandoor-leaving';
const SERVICE_UNAVAILABLE = 503;

/** A target's own statement that it did not run the request. */
export interface TargetRefusal {
  /** From the target's `Retry-After`; undefined when it sent none. */
  readonly retryAfterSeconds: number | undefined;
}

/** Forwards a target's response to the caller, unless the target says that it ran nothing. */
export class ResponseForwarder implements ResponseSink {
  /** Set when the target responded that it did not run the request. */
  refusal: TargetRefusal | undefined;
  /** Status of the response; 0 until its head arrives. */
  status = 0;
  /** Monotonic milliseconds at which the head arrived. */
  headReceivedAt: number | undefined;
  /** Whether the target announced that it takes no more new work. */
  isTargetLeaving = false;

  constructor(
    private readonly responseWriter: CallerResponseWriter,
    private readonly recorder: HeldAnswerRecorder | undefined,
    private readonly clock: Clock,
  ) {}

  onHead(status: number, headers: readonly string[]): void {
    this.status = status;
    this.headReceivedAt = this.clock.monotonicMilliseconds();
    this.isTargetLeaving = headerValues(headers, LEAVING_HEADER).includes(
      'yes',
    );
    if (status === SERVICE_UNAVAILABLE && declaresNotRun(headers)) {
      this.refusal = {retryAfterSeconds: parseRetryAfter(headers)};
      return;
    }
    const forwardedHeaders = endToEndHeaders(headers);
    this.recorder?.recordHead(status, forwardedHeaders);
    this.responseWriter.writeHead(status, forwardedHeaders);
  }

  onData(chunk: Buffer): boolean {
    if (this.refusal) return true;
    this.recorder?.recordData(chunk);
    return this.responseWriter.writeData(chunk);
  }

  onEnd(trailers: readonly string[]): void {
    if (!this.refusal) this.responseWriter.end(trailers);
  }
}

function declaresNotRun(headers: readonly string[]): boolean {
  const values = headerValues(headers, RUN_HEADER);
  return values.length === 1 && values[0].trim() === RequestExecution.NotRun;
}

function parseRetryAfter(headers: readonly string[]): number | undefined {
  const [value] = headerValues(headers, 'retry-after');
  return value !== undefined && /^\d{1,6}$/.test(value)
    ? Number(value)
    : undefined;
}

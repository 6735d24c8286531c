import {
  RecordKind,
  applyDelta,
  decodeRecord,
  sha256Hex,
  parseSectionsInSlices,
  type FleetState,
} from '@gentiandoor/shared-state';

/** Minimum size at which a bundle is parsed in slices before it is folded. */
const MINIMUM_PREPARSE_CHARACTERS = 16_000;

/**
 * Parses a large bundle in slices before its record is folded, and caches the result. Parsed
 * in one piece, it would block the event loop, and with it every request in flight, for a
 * considerable part of a second.
 */
export async function preparseBundle(
  state: FleetState,
  payload: Uint8Array,
  yieldToEventLoop: () => Promise<void>,
): Promise<void> {
  const lengthInForce = state.inForce?.text.length ?? 0;
  if (Math.max(payload.length, lengthInForce) < MINIMUM_PREPARSE_CHARACTERS)
    return;
  const text = bundleText(state, payload);
  if (text === undefined) return;
  try {
    const parsed = await parseSectionsInSlices(
      text,
      yieldToEventLoop,
      state.inForce?.parsed,
    );
    state.parsedBundleCache.put(sha256Hex(text), parsed);
  } catch {
    // Folding the record finds the same error and reports it.
  }
}

function bundleText(
  state: FleetState,
  payload: Uint8Array,
): string | undefined {
  const record = decodeRecord(payload);
  if ('unreadable' in record) return undefined;
  if (record.kind === RecordKind.BundleProposed) return record.text;
  const {inForce} = state;
  if (record.kind !== RecordKind.BundleChanged || !inForce) return undefined;
  if (record.baseDigest !== inForce.digest) return undefined;
  try {
    return applyDelta(inForce.parsed.sections, record.steps);
  } catch {
    return undefined;
  }
}

import {
  RecordKind,
  applyDelta,
  decodeRecord,
  sha256Hex,
  parseSectionsInSlices,
  type FleetState,
} from '@gentiandoor/shared-state';

/** A bundle from here on is parsed ahead of the fold, in slices. */
const MINIMUM_PREPARSE_CHARACTERS = 16_000;

/**
 * Parses the large bundle of a payload in slices before the fold comes to it. In one piece it
 * would hold the event loop, and every caller in flight, for a good part of a second.
 */
export async function preparseBundle(
  state: FleetState,
  payload: Uint8Array,
  rest: () => Promise<void>,
): Promise<void> {
  const lengthInForce = state.inForce?.text.length ?? 0;
  if (Math.max(payload.length, lengthInForce) < MINIMUM_PREPARSE_CHARACTERS)
    return;
  const text = bundleText(state, payload);
  if (text === undefined) return;
  try {
    const parsed = await parseSectionsInSlices(
      text,
      rest,
      state.inForce?.parsed,
    );
    state.parsedBundleCache.put(sha256Hex(text), parsed);
  } catch {
    // The fold comes to the same result and says what is wrong.
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

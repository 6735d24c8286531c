import {makeDelta} from './bundle-text.js';
import type {FleetState} from './fleet-state.js';
import {
  RecordKind,
  type BundleChanged,
  type BundleProposed,
  type RecordHead,
} from './records.js';
import {sha256Hex} from './signatures.js';

/**
 * Creates the record that proposes `text` for sign-off. Uses a delta from the bundle in force if
 * that is shorter, so that the record of a small change is small regardless of the number of VMs.
 */
export function makeProposalRecord(
  state: FleetState,
  head: RecordHead,
  text: string,
): BundleProposed | BundleChanged {
  const whole: BundleProposed = {
    ...head,
    kind: RecordKind.BundleProposed,
    text,
  };
  const {inForce} = state;
  if (!inForce) return whole;
  const steps = makeDelta(inForce.parsed.sections, text);
  if (JSON.stringify(steps).length >= text.length) return whole;
  return {
    ...head,
    kind: RecordKind.BundleChanged,
    baseDigest: inForce.digest,
    digest: sha256Hex(text),
    steps,
  };
}

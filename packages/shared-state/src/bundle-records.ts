import {z} from 'zod';
import {
  nonNegativeInteger,
  recordHeadFields,
  boundedText,
} from './record-head.js';
import {RecordKind} from './record-kind.js';

/** Longest text of a bundle, in characters: 31,000 VMs named one by one take about 2 million. */
export const MAXIMUM_BUNDLE_CHARACTERS = 8_000_000;
const MAXIMUM_DELTA_STEPS = 20_000;

const digest = z.string().regex(/^[0-9a-f]{64}$/);

/** Shape of a `BundleProposed` record. */
export const bundleProposedSchema = z
  .object({
    ...recordHeadFields,
    kind: z.literal(RecordKind.BundleProposed),
    text: z.string().max(MAXIMUM_BUNDLE_CHARACTERS),
  })
  .readonly();

/** Shape of one step that makes a bundle's text from its base. */
export const deltaStepSchema = z.union([
  z.object({copy: nonNegativeInteger, count: nonNegativeInteger}).readonly(),
  z.object({text: z.string().max(MAXIMUM_BUNDLE_CHARACTERS)}).readonly(),
]);

/** Shape of a `BundleChanged` record. */
export const bundleChangedSchema = z
  .object({
    ...recordHeadFields,
    kind: z.literal(RecordKind.BundleChanged),
    /** Digest of the text in force that the steps start from. */
    baseDigest: digest,
    /** Digest of the whole text that they make. */
    digest,
    steps: z.array(deltaStepSchema).max(MAXIMUM_DELTA_STEPS).readonly(),
  })
  .readonly();

/** Shape of a `BundleSigned` record. */
export const bundleSignedSchema = z
  .object({
    ...recordHeadFields,
    kind: z.literal(RecordKind.BundleSigned),
    version: nonNegativeInteger,
    digest,
    operator: boundedText,
    /** Ed25519 in base64. */
    signature: boundedText,
  })
  .readonly();

/** A bundle's text, put up for sign-off. */
export type BundleProposed = z.output<typeof bundleProposedSchema>;

/** One step of a delta: copies sections of the base, or adds text. */
export type DeltaStep = z.output<typeof deltaStepSchema>;

/** A bundle put up for sign-off as its difference from the bundle in force. */
export type BundleChanged = z.output<typeof bundleChangedSchema>;

/** An operator's sign-off of one proposed bundle. */
export type BundleSigned = z.output<typeof bundleSignedSchema>;

import {BundleError} from '@gentiandoor/kernel';
import type {Bundle} from './bundle.js';
import {MAXIMUM_BUNDLE_CHARACTERS, type DeltaStep} from './bundle-records.js';
import type {NamedSectionKind, SingleSectionKind} from './bundle-sections.js';

/** A part of a bundle's text that starts with a `[header]`. */
export interface TextSection {
  /** Text between the brackets; empty for the lines before the first header. */
  readonly header: string;
  readonly text: string;
}

/** A section with its parsed value. */
export interface ParsedSection extends TextSection {
  /** Undefined for the lines before the first header. */
  readonly kind: SingleSectionKind | NamedSectionKind | undefined;
  readonly name: string;
  readonly value: unknown;
}

/** A bundle with the sections that it was parsed from. */
export interface ParsedBundle {
  readonly bundle: Bundle;
  readonly sections: readonly ParsedSection[];
}

const HEADER = /^[ \t]*\[([^\]\n]*)\][ \t]*\r?$/gm;

/** Splits a bundle's text at its headers; joining the sections gives the same text again. */
export function splitSections(text: string): TextSection[] {
  const sections: TextSection[] = [];
  let header = '';
  let start = 0;
  for (const match of text.matchAll(HEADER)) {
    if (match.index > start || header !== '')
      sections.push({header, text: text.slice(start, match.index)});
    header = match[1].trim();
    start = match.index;
  }
  if (start < text.length) sections.push({header, text: text.slice(start)});
  return sections;
}

/**
 * Returns the steps that build `text` from the sections of `base`. Unchanged sections are
 * copied by index, so that changing one pool of a bundle with 31,000 VMs takes a record of a
 * few kilobytes.
 */
export function makeDelta(
  base: readonly TextSection[],
  text: string,
): DeltaStep[] {
  const indexByText = new Map(
    base.map((section, index) => [section.text, index]),
  );
  const steps: DeltaStep[] = [];
  for (const section of splitSections(text)) {
    const baseIndex = indexByText.get(section.text);
    if (baseIndex === undefined) addText(steps, section.text);
    else addCopy(steps, baseIndex);
  }
  return steps;
}

function addText(steps: DeltaStep[], text: string): void {
  const last = steps.at(-1);
  if (last && 'text' in last)
    steps[steps.length - 1] = {text: last.text + text};
  else steps.push({text});
}

function addCopy(steps: DeltaStep[], baseIndex: number): void {
  const last = steps.at(-1);
  if (last && 'copy' in last && last.copy + last.count === baseIndex)
    steps[steps.length - 1] = {copy: last.copy, count: last.count + 1};
  else steps.push({copy: baseIndex, count: 1});
}

/**
 * Builds the text from `base` and `steps`; throws `BundleError` if a step copies a missing
 * section.
 */
export function applyDelta(
  base: readonly TextSection[],
  steps: readonly DeltaStep[],
): string {
  const parts: string[] = [];
  let length = 0;
  const add = (text: string) => {
    length += text.length;
    // Steps may copy a section repeatedly: without this limit a record of a few kilobytes
    // could expand to gigabytes.
    if (length > MAXIMUM_BUNDLE_CHARACTERS)
      throw new BundleError('the text that the delta produces is too long');
    parts.push(text);
  };
  for (const step of steps) {
    if ('text' in step) add(step.text);
    else copySections(base, step.copy, step.count, add);
  }
  return parts.join('');
}

function copySections(
  base: readonly TextSection[],
  from: number,
  count: number,
  add: (text: string) => void,
): void {
  if (from + count > base.length)
    throw new BundleError(
      'the delta copies sections that do not exist in its base',
    );
  for (let index = from; index < from + count; index++) add(base[index].text);
}

import {BundleError} from '@gentiandoor/kernel';
import type {Bundle} from './bundle.js';
import {MAXIMUM_BUNDLE_CHARACTERS, type DeltaStep} from './bundle-records.js';
import type {NamedSectionKind, SingleSectionKind} from './bundle-sections.js';

/** A stretch of a bundle's text that starts with its `[header]`. */
export interface TextSection {
  /** What stands in the header; empty for the lines before the first. */
  readonly header: string;
  readonly text: string;
}

/** A section with what it says. */
export interface ParsedSection extends TextSection {
  /** Undefined for the lines before the first header. */
  readonly kind: SingleSectionKind | NamedSectionKind | undefined;
  readonly name: string;
  readonly value: unknown;
}

/** A bundle with the sections it was read from. */
export interface ParsedBundle {
  readonly bundle: Bundle;
  readonly sections: readonly ParsedSection[];
}

const HEADER = /^[ \t]*\[([^\]\n]*)\][ \t]*\r?$/gm;

/** Cuts a bundle's text at its headers; the pieces joined are the text again. */
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
 * Steps that make `text` from the sections of `base`: what did not change is copied by its
 * place, so that one changed pool of a bundle with 31,000 VMs is a record of some kilobytes.
 */
export function makeDelta(
  base: readonly TextSection[],
  text: string,
): DeltaStep[] {
  const places = new Map(base.map((section, index) => [section.text, index]));
  const steps: DeltaStep[] = [];
  for (const section of splitSections(text)) {
    const place = places.get(section.text);
    if (place === undefined) addText(steps, section.text);
    else addCopy(steps, place);
  }
  return steps;
}

function addText(steps: DeltaStep[], text: string): void {
  const last = steps.at(-1);
  if (last && 'text' in last)
    steps[steps.length - 1] = {text: last.text + text};
  else steps.push({text});
}

function addCopy(steps: DeltaStep[], place: number): void {
  const last = steps.at(-1);
  if (last && 'copy' in last && last.copy + last.count === place)
    steps[steps.length - 1] = {copy: last.copy, count: last.count + 1};
  else steps.push({copy: place, count: 1});
}

/** The text that `steps` make from `base`; throws `BundleError` when they reach outside it. */
export function applyDelta(
  base: readonly TextSection[],
  steps: readonly DeltaStep[],
): string {
  const parts: string[] = [];
  let length = 0;
  const add = (text: string) => {
    length += text.length;
    // Copies can be repeated: a record of some kilobytes could otherwise grow to gigabytes.
    if (length > MAXIMUM_BUNDLE_CHARACTERS)
      throw new BundleError('the delta makes a text that is too long');
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
      'the delta copies sections that its base does not have',
    );
  for (let index = from; index < from + count; index++) add(base[index].text);
}

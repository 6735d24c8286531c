import type {ReferencePart} from './reference-pages.js';

/** Puts a part into its page, between the comments that name it; throws when they are missing. */
export function replacePart(pageText: string, part: ReferencePart): string {
  const {begin, end} = bounds(pageText, part);
  return `${pageText.slice(0, begin)}\n\n${part.text}\n\n${pageText.slice(end)}`;
}

/** The part as the page holds it now. */
export function currentPart(pageText: string, part: ReferencePart): string {
  const {begin, end} = bounds(pageText, part);
  return pageText.slice(begin, end).trim();
}

function bounds(
  pageText: string,
  part: ReferencePart,
): {begin: number; end: number} {
  const opening = `<!-- begin ${part.name} -->`;
  const begin = pageText.indexOf(opening);
  const end = pageText.indexOf(`<!-- end ${part.name} -->`);
  if (begin < 0 || end < begin) {
    throw new Error(`${part.page} has no part between ${opening} and its end`);
  }
  return {begin: begin + opening.length, end};
}

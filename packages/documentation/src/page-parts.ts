import type {ReferencePart} from './reference-pages.js';

/** Replaces the text between a part's marker comments in its page; throws if they are missing. */
export function replacePart(pageText: string, part: ReferencePart): string {
  const {begin, end} = findBounds(pageText, part);
  return `${pageText.slice(0, begin)}\n\n${part.text}\n\n${pageText.slice(end)}`;
}

/** Returns the current text of a part in its page. */
export function currentPart(pageText: string, part: ReferencePart): string {
  const {begin, end} = findBounds(pageText, part);
  return pageText.slice(begin, end).trim();
}

function findBounds(
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

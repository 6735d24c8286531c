import type {z} from 'zod';

/**
 * Returns a row of the settings table: key, default, meaning. Throws if the key has no description.
 */
export function describeOption(
  key: string,
  schema: z.ZodType,
): [string, string, string] {
  const meaning = findDescription(schema);
  if (meaning === undefined) {
    throw new Error(
      `the settings key ${key} has no description: add .describe(...) to it`,
    );
  }
  return [`\`${key}\``, defaultOf(schema), meaning];
}

interface Definition {
  readonly type: string;
  readonly innerType?: z.ZodType;
  readonly defaultValue?: unknown;
}

function definitionOf(schema: z.ZodType): Definition {
  return schema.def as unknown as Definition;
}

function findDescription(schema: z.ZodType): string | undefined {
  if (schema.description !== undefined) return schema.description;
  const {innerType} = definitionOf(schema);
  return innerType ? findDescription(innerType) : undefined;
}

function defaultOf(schema: z.ZodType): string {
  const {type, defaultValue} = definitionOf(schema);
  if (type === 'default') return String(defaultValue) || 'none';
  return type === 'optional' ? 'none' : 'required';
}
